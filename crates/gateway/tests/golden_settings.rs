//! Guards against unintended changes to the settings format, its error messages and the deploy files.

#[path = "../../core/tests/support/golden.rs"]
mod golden;

use std::fmt::Write;
use std::path::Path;

use stallmoor_gateway::process::settings::ServingSettings;

/// Sets every field except `evacuate_ms`, `zones` and the limits on answers to a value other than its default.
const FULL: &str = r#"
[node]
name = "edge-7"
zone = "zone-c"
address = "10.1.2.3"
data_folder = "/var/lib/stallmoor"

[listen]
callers = "0.0.0.0:8080"
readiness = "0.0.0.0:8081"
peer_port = 7100
metrics_port = 7101

[metadata]
address = "10.9.9.9:2379"
config_ms = 1500.5
drain_ms = 1700.0
contact_ms = 2600.0
heartbeat_ms = 900.0

[tolerance]
machines = 2
zones = 3
regions = 4

[jobs]
results_kept_s = 77.5
disk_mb = 512.25

[stop]
grace_s = 6.5

[log]
level = "debug"
"#;

/// Contains only the required fields.
const MINIMAL: &str = r#"
[node]
name = "n"
zone = "z"
address = "::1"

[listen]
peer_port = 1

[metadata]
address = "[::1]:2"
"#;

/// Lists the parsed fields by table and name, followed by derived values in brackets.
fn describe(settings: &ServingSettings) -> String {
    let ServingSettings { node, listen, metadata, tolerance, zones: _, answers: _, jobs, stop, log } = settings;
    let bounds = metadata.watch_bounds();
    let lines = [
        format!("node.name = {:?}", node.name),
        format!("node.zone = {:?}", node.zone),
        format!("node.address = {}", node.address),
        format!("node.data_folder = {:?}", node.data_folder),
        format!("listen.callers = {:?}", listen.callers),
        format!("listen.readiness = {:?}", listen.readiness),
        format!("listen.peer_port = {}", listen.peer_port),
        format!("listen.metrics_port = {:?}", listen.metrics_port),
        format!("metadata.address = {}", metadata.address),
        format!("metadata.config_ms = {:?}", metadata.config_ms),
        format!("metadata.drain_ms = {:?}", metadata.drain_ms),
        format!("metadata.contact_ms = {:?}", metadata.contact_ms),
        format!("metadata.heartbeat_ms = {:?}", metadata.heartbeat_ms),
        format!("tolerance.machines = {}", tolerance.machines),
        format!("tolerance.zones = {}", tolerance.zones),
        format!("tolerance.regions = {}", tolerance.regions),
        format!("jobs.results_kept_s = {:?}", jobs.results_kept_s),
        format!("jobs.disk_mb = {:?}", jobs.disk_mb),
        format!("stop.grace_s = {:?}", stop.grace_s),
        format!("log.level = {}", log.level),
        format!("[peer address] = {}", settings.peer_address()),
        format!("[metrics address] = {:?}", settings.metrics_address()),
        format!("[change within] = {} ms", bounds.change.0),
        format!("[contact within] = {} ms", bounds.contact.0),
        format!("[heartbeat each] = {} ms", bounds.heartbeat.0),
        format!("[replicas lost] = {}", tolerance.replicas()),
        format!("[results kept] = {} ms", jobs.results_kept().0),
        format!("[disk bytes] = {:?}", jobs.disk_bytes()),
    ];
    lines.join("\n") + "\n"
}

fn read(text: &str) -> ServingSettings {
    ServingSettings::parse(text, Path::new("node.toml")).expect("the settings are valid")
}

#[test]
fn full_and_minimal_files_match_the_golden_file() {
    // The defaults of an empty table may differ from those of a missing one.
    let bare = format!("{MINIMAL}\n[tolerance]\n[jobs]\n");
    let described = format!(
        "# full\n{}\n# minimal\n{}\n# minimal with bare tables\n{}",
        describe(&read(FULL)),
        describe(&read(MINIMAL)),
        describe(&read(&bare))
    );
    golden::check_text("settings.txt", &described);
}

#[test]
fn zones_and_evacuation_limit_match_the_golden_file() {
    let bound = MINIMAL.replace("address = \"[::1]:2\"", "address = \"[::1]:2\"\nevacuate_ms = 1800.0");
    let full = format!("{bound}\n[zones]\nzone-c = \"north\"\nzone-d = \"south\"\n");
    let mut output = String::new();
    for (title, text) in [("full", &*full), ("minimal", MINIMAL)] {
        let settings = read(text);
        let bounds = settings.metadata.watch_bounds();
        writeln!(output, "# {title}\nzones = {:?}", settings.zones).expect("writing to a string succeeds");
        writeln!(output, "metadata.evacuate_ms = {:?}", settings.metadata.evacuate_ms)
            .expect("writing to a string succeeds");
        writeln!(output, "[change within] = {} ms\n", bounds.change.0).expect("writing to a string succeeds");
    }
    let short = full.replace("evacuate_ms = 1800.0", "evacuate_ms = 0.5");
    let error = ServingSettings::parse(&short, Path::new("node.toml")).expect_err("the limit is too short");
    golden::check_text("settings_zones.txt", &format!("{output}# too short\n{error}\n"));
}

/// The limits on answers, and the error messages about them.
#[test]
fn answer_limits_match_the_golden_file() {
    const ANSWERS: &str = "[answers]\nevent_bytes = 3000\nbody_bytes = 4000\nitem_bytes = 5000\nheld_bytes = 6000\n";
    let metadata = MINIMAL.replace("address = \"[::1]:2\"", "address = \"[::1]:2\"\nanswer_bytes = 2000");
    let full = format!("{metadata}\n{ANSWERS}");
    let mut output = String::new();
    for (title, text) in [("full", &*full), ("minimal", MINIMAL)] {
        let ServingSettings { metadata, answers, .. } = read(text);
        let lines = [
            ("metadata.answer_bytes", metadata.answer_bytes),
            ("answers.event_bytes", answers.event_bytes),
            ("answers.body_bytes", answers.body_bytes),
            ("answers.item_bytes", answers.item_bytes),
            ("answers.held_bytes", answers.held_bytes),
        ];
        writeln!(output, "# {title}").expect("writing to a string succeeds");
        for (name, value) in lines {
            writeln!(output, "{name} = {value}").expect("writing to a string succeeds");
        }
    }
    let cases = [
        ("unknown field", "item_bytes", "items"),
        ("store's answers too short", "answer_bytes = 2000", "answer_bytes = 1023"),
        ("events too long", "event_bytes = 3000", "event_bytes = 1000000001"),
        ("negative", "held_bytes = 6000", "held_bytes = -1"),
    ];
    for (case, from, to) in cases {
        let error = ServingSettings::parse(&full.replace(from, to), Path::new("node.toml")).expect_err(case);
        writeln!(output, "# {case}\n{}", error.to_string().trim_end()).expect("writing to a string succeeds");
    }
    golden::check_text("settings_answers.txt", &output);
}

/// Each case replaces one piece of text in the full file.
#[test]
fn error_messages_match_the_golden_file() {
    let cases = [
        ("unknown table", "[log]", "[logs]"),
        ("unknown field of node", "zone = ", "zne = "),
        ("unknown field of listen", "metrics_port", "metric_port"),
        ("unknown field of metadata", "drain_ms", "drain"),
        ("unknown field of tolerance", "regions", "region"),
        ("unknown field of jobs", "disk_mb", "disk_gb"),
        ("unknown field of stop", "grace_s", "grace_ms"),
        ("missing field of node", "name = \"edge-7\"\n", ""),
        ("missing field of listen", "peer_port = 7100\n", ""),
        ("missing field of metadata", "address = \"10.9.9.9:2379\"\n", ""),
        ("missing field of stop", "grace_s = 6.5\n", ""),
        ("text for a number", "peer_port = 7100", "peer_port = \"7100\""),
        ("number for a text", "name = \"edge-7\"", "name = 7"),
        ("no address", "address = \"10.1.2.3\"", "address = \"here\""),
        ("no socket address", "callers = \"0.0.0.0:8080\"", "callers = \"0.0.0.0\""),
        ("no level", "level = \"debug\"", "level = \"loud\""),
        ("port beyond the range", "metrics_port = 7101", "metrics_port = 70000"),
        ("no TOML", "[stop]", "[stop"),
        ("empty name", "name = \"edge-7\"", "name = \"\""),
        ("empty zone", "zone = \"zone-c\"", "zone = \"\""),
        ("time too short", "config_ms = 1500.5", "config_ms = 0.5"),
        ("time too long", "heartbeat_ms = 900.0", "heartbeat_ms = 3600000.5"),
        ("grace too long", "grace_s = 6.5", "grace_s = 3600.5"),
        ("results kept too short", "results_kept_s = 77.5", "results_kept_s = 0.5"),
        ("negative disk", "disk_mb = 512.25", "disk_mb = -1.0"),
        ("no peer port", "peer_port = 7100", "peer_port = 0"),
        ("one port twice", "metrics_port = 7101", "metrics_port = 7100"),
    ];
    let mut output = String::new();
    for (case, from, to) in cases {
        assert!(FULL.contains(from), "{case}: {from}");
        let text = FULL.replacen(from, to, 1);
        let error = ServingSettings::parse(&text, Path::new("node.toml")).expect_err(case);
        writeln!(output, "# {case}\n{}\n", error.to_string().trim_end()).expect("writing to a string succeeds");
    }
    golden::check_text("settings_errors.txt", &output);
}

#[test]
fn deploy_files_match_the_golden_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let mut names: Vec<String> = std::fs::read_dir(&folder)
        .expect("the deploy folder is readable")
        .map(|entry| entry.expect("the directory entry is readable").path())
        // Subfolders are not part of a deployment.
        .filter(|path| path.is_file())
        .map(|path| path.file_name().expect("the path has a file name").to_string_lossy().into_owned())
        .collect();
    names.sort();
    let mut all = String::new();
    for name in names {
        let text = std::fs::read_to_string(folder.join(&name)).expect("the file is UTF-8 text");
        writeln!(all, "==> {name} <==\n{text}").expect("writing to a string succeeds");
    }
    golden::check_text("deploy.txt", &all);
}
