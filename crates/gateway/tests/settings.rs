//! The settings file: what is taken, and what an error names.

use std::path::Path;

use stallmoor_gateway::settings::ServingSettings;

const SOUND: &str = "\
[node]\nname = \"a\"\nzone = \"z\"\naddress = \"10.0.0.1\"\n\
[listen]\npeer_port = 7000\n\
[metadata]\naddress = \"10.0.0.9:80\"\n";

fn problem(text: &str) -> String {
    let error = ServingSettings::parse(text, Path::new("node.toml")).expect_err("it must be refused");
    let message = error.to_string();
    assert!(message.contains("node.toml"), "{message}");
    message
}

#[test]
fn sound_settings_are_taken_with_their_defaults() {
    let settings = ServingSettings::parse(SOUND, Path::new("node.toml")).expect("they are sound");
    assert_eq!(settings.peer_address().to_string(), "10.0.0.1:7000");
    assert_eq!(settings.tolerance.machines, 1);
    assert_eq!(settings.log.level, log::LevelFilter::Info);
}

#[test]
fn errors_name_the_file_and_the_place() {
    assert!(problem(&SOUND.replace("peer_port = 7000", "peer_port = \"x\"")).contains("line 6"));
    assert!(problem(&SOUND.replace("zone = \"z\"\n", "")).contains("zone"));
    assert!(problem(&SOUND.replace("name = \"a\"", "name = \"\"")).contains("node.name"));
    assert!(problem(&SOUND.replace("peer_port = 7000", "peer_port = 0")).contains("listen.peer_port"));
    assert!(problem(&format!("{SOUND}[stop]\ngrace_s = 0.0\n")).contains("stop.grace_s"));
    assert!(problem(&format!("{SOUND}[surprise]\nx = 1\n")).contains("surprise"));
    assert!(problem(&format!("{SOUND}[log]\nlevel = \"loud\"\n")).contains("level"));
}
