//! Tests of the binary: validation of configuration and settings files, exit codes, and `explain --log`.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn stallmoor(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stallmoor")).args(arguments).output().expect("the program runs")
}

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn check(folder: &Path) -> Output {
    stallmoor(&["check", &folder.display().to_string()])
}

#[test]
fn example_configurations_are_valid() {
    let tubigwatch = check(&example("tubigwatch"));
    assert_eq!(tubigwatch.status.code(), Some(0), "{}", text(&tubigwatch.stderr));
    assert!(text(&tubigwatch.stdout).contains("12 machines"));
    let vidyapath = check(&example("vidyapath"));
    assert_eq!(vidyapath.status.code(), Some(0), "{}", text(&vidyapath.stderr));
    assert!(text(&vidyapath.stdout).contains("18 machines"));
}

/// An edit that makes an example configuration invalid, and the expected error.
struct InvalidEdit {
    set: &'static str,
    file: &'static str,
    from: &'static str,
    to: &'static str,
    error: &'static str,
}

const INVALID_EDITS: [InvalidEdit; 13] = [
    InvalidEdit {
        set: "tubigwatch",
        file: "services.toml",
        from: "tail_harm_limit = 1.15",
        to: "tail_harm_limt = 1.15",
        error: "services.toml:3: service.tail_harm_limt: unknown field",
    },
    InvalidEdit {
        set: "tubigwatch",
        file: "services.toml",
        from: "tail_harm_limit = 1.15",
        to: "tail_harm_limit = 10.5",
        error: "services.toml:3: service.tail_harm_limit: must be a number from 1 to 10",
    },
    InvalidEdit {
        set: "tubigwatch",
        file: "services.toml",
        from: "online_headroom = 0.1",
        to: "online_headroom = 1.5",
        error: "services.toml:4: service.online_headroom: must be a number from 0 to 0.9",
    },
    InvalidEdit {
        set: "tubigwatch",
        file: "services.toml",
        from: "service = \"logger-lm\"",
        to: "service = \"logger-ml\"",
        error: "services.toml:13: model.service: there is no service \"logger-ml\"",
    },
    InvalidEdit {
        set: "tubigwatch",
        file: "machines.toml",
        from: "zone = \"mandaue-b\"",
        to: "zone = \"mandaue\"",
        error: "machines.toml:13: machine.zone: there is no zone \"mandaue\"",
    },
    InvalidEdit {
        set: "tubigwatch",
        file: "machines.toml",
        from: "name = \"logger-02\"",
        to: "name = \"logger-01\"",
        error: "machines.toml:11: machine.name: duplicate: machine \"logger-01\" is also at machines.toml:4",
    },
    InvalidEdit {
        set: "tubigwatch",
        file: "machines.toml",
        from: "127.0.0.1:17302",
        to: "logger-two.local:17302",
        error: "machines.toml:12: machine.address: \"logger-two.local:17302\" is not an IP address with port",
    },
    InvalidEdit {
        set: "tubigwatch",
        file: "fleet.toml",
        from: "name = \"tubigwatch\"",
        to: "",
        error: "fleet.toml:4: fleet.name: missing",
    },
    InvalidEdit {
        set: "vidyapath",
        file: "fleet.toml",
        from: "replica_groups = 8",
        to: "replica_groups = 0",
        error: "fleet.toml:6: fleet.replica_groups: must be a whole number from 1 to 4096",
    },
    InvalidEdit {
        set: "vidyapath",
        file: "tenants.toml",
        from: "batch_weight = 2",
        to: "batch_weight = \"two\"",
        error: "tenants.toml:9: tenant.batch_weight: must be a whole number from 1 to 1000",
    },
    InvalidEdit {
        set: "vidyapath",
        file: "tenants.toml",
        from: "name = \"head-office\"",
        to: "name = \"counsellors\"",
        error: "tenants.toml:7: tenant.name: duplicate: tenant \"counsellors\" is also at tenants.toml:2",
    },
    InvalidEdit {
        set: "vidyapath",
        file: "services.toml",
        from: "batch_priority = 10",
        to: "batch_priority = 0",
        error: "services.toml:7: service.batch_priority: must be greater than online_priority",
    },
    InvalidEdit {
        set: "vidyapath",
        file: "services.toml",
        from: "name = \"admit-13b\"",
        to: "name = admit-13b",
        error: "services.toml:12: ",
    },
];

fn edited_copy(edit: &InvalidEdit) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    for entry in std::fs::read_dir(example(edit.set)).expect("the example").flatten() {
        let content = std::fs::read_to_string(entry.path()).expect("a file");
        let name = entry.file_name();
        let content = if name == edit.file {
            assert!(content.contains(edit.from), "{}: {}", edit.file, edit.from);
            content.replacen(edit.from, edit.to, 1)
        } else {
            content
        };
        std::fs::write(folder.path().join(name), content).expect("written");
    }
    folder
}

#[test]
fn invalid_configurations_are_rejected_with_file_line_and_field() {
    for edit in &INVALID_EDITS {
        let folder = edited_copy(edit);
        let refused = check(folder.path());
        assert_eq!(refused.status.code(), Some(3), "{}", edit.error);
        let errors = text(&refused.stderr);
        assert!(errors.contains(edit.error), "expected {:?} in:\n{errors}", edit.error);
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let content = "[fleet]\nname = \"f\"\ncolour = 1\n[[zone]]\nname = \"z\"\n[[tenant]]\nname = \"\"\n";
    std::fs::write(folder.path().join("a.toml"), content).expect("written");
    let refused = check(folder.path());
    let errors = text(&refused.stderr);
    for expected in ["a.toml:3: fleet.colour", "a.toml:4: zone.region: missing", "a.toml:7: tenant.name"] {
        assert!(errors.contains(expected), "{expected:?} in:\n{errors}");
    }
}

#[test]
fn exit_codes_are_as_documented() {
    assert_eq!(stallmoor(&["check"]).status.code(), Some(2));
    assert_eq!(stallmoor(&["check", "/nowhere/at/all"]).status.code(), Some(1));
    assert_eq!(stallmoor(&["status", "--node", "127.0.0.1:9"]).status.code(), Some(5));
    assert_eq!(stallmoor(&["--help"]).status.code(), Some(0));
}

#[test]
fn invalid_settings_are_rejected_with_file_line_and_field() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("node.toml");
    let content = "[node]\nzone = \"a\"\npeer_address = \"here\"\ncaller_address = \"127.0.0.1:0\"\n\n\
                   [platform]\nkey_value = \"127.0.0.1:1\"\n\n[log]\nlevel = \"loud\"\n";
    std::fs::write(&path, content).expect("written");
    let refused = stallmoor(&["node", "--settings", &path.display().to_string()]);
    assert_eq!(refused.status.code(), Some(3));
    let errors = text(&refused.stderr);
    for expected in
        ["node.toml:3: node.peer_address", "node.toml:6: platform.machine_list: missing", "node.toml:10: log.level"]
    {
        assert!(errors.contains(expected), "{expected:?} in:\n{errors}");
    }
}

#[test]
fn explain_merges_logs_in_time_order() {
    let folder = tempfile::TempDir::new().expect("a folder");
    let gateway = folder.path().join("gateway.log");
    let storage = folder.path().join("storage.log");
    let moved = r#"{"at":2000,"level":"INFO","event":504,"name":"RequestMoved","request":"abc","worker":"w-2"}"#;
    let ended = r#"{"at":2600,"level":"INFO","event":521,"name":"RequestEnded","request":"abc","end":"whole"}"#;
    let other = r#"{"at":1000,"level":"INFO","event":521,"name":"RequestEnded","request":"xyz-9"}"#;
    std::fs::write(&gateway, format!("{ended}\n{other}\nnot a line\n{{\"at\": broken\n")).expect("it can be written");
    std::fs::write(&storage, format!("  12.5 edge-1 {moved}\n")).expect("it can be written");
    let logs = [gateway.display().to_string(), storage.display().to_string()];
    let shown = stallmoor(&["explain", "abc", "--log", &logs[0], "--log", &logs[1]]);
    assert_eq!(shown.status.code(), Some(0), "{}", text(&shown.stderr));
    let explanation = text(&shown.stdout);
    let first = explanation.find("A request moved to another engine").expect("the move is listed");
    let last = explanation.find("A request that passes through has ended").expect("the end is listed");
    assert!(first < last, "{explanation}");
    assert!(
        explanation.contains("600 ms") && explanation.contains("edge-1") && !explanation.contains("xyz-9"),
        "{explanation}"
    );
    let unknown = stallmoor(&["explain", "nobody", "--log", &logs[0]]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(text(&unknown.stderr).contains("nobody"));
}

#[test]
fn serving_commands_report_unusable_settings() {
    let folder = tempfile::TempDir::new().expect("a folder");
    let file = folder.path().join("node.toml");
    std::fs::write(&file, "[node]\nname = 3\n").expect("it can be written");
    let refused = stallmoor(&["gateway", "--settings", &file.display().to_string()]);
    assert_eq!(refused.status.code(), Some(3));
    let message = text(&refused.stderr);
    assert!(message.contains("node.toml") && message.contains("line 2"), "{message}");
    let without =
        Command::new(env!("CARGO_BIN_EXE_stallmoor")).env_clear().arg("storage").output().expect("the program runs");
    assert_eq!(without.status.code(), Some(2));
}
