//! The settings file: what is taken, and what an error names.

use std::path::Path;

use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_gateway::process::settings::ServingSettings;

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
    for field in ["config_ms", "drain_ms", "contact_ms", "heartbeat_ms"] {
        for value in ["0", "nan", "3600001"] {
            let text = SOUND.replace("[metadata]\n", &format!("[metadata]\n{field} = {value}\n"));
            assert!(problem(&text).contains(&format!("metadata.{field}")), "{field} = {value}");
        }
    }
    assert!(problem(&format!("{SOUND}[jobs]\nresults_kept_s = 0\n")).contains("jobs.results_kept_s"));
    assert!(problem(&format!("{SOUND}[jobs]\ndisk_mb = -1\n")).contains("jobs.disk_mb"));
    assert!(problem(&format!("{SOUND}[surprise]\nx = 1\n")).contains("surprise"));
    assert!(problem(&format!("{SOUND}[log]\nlevel = \"loud\"\n")).contains("level"));
}

#[test]
fn replicas_are_enough_for_whatever_may_be_lost_at_once() {
    let tolerance = |text: &str| {
        let text = format!("{SOUND}[tolerance]\n{text}\n");
        ServingSettings::parse(&text, Path::new("node.toml")).expect("they are sound").tolerance.replicas()
    };
    assert_eq!(tolerance("machines = 2"), 2);
    assert_eq!(tolerance("machines = 0\nzones = 1"), 1);
    assert_eq!(tolerance("machines = 1\nzones = 1\nregions = 2"), 2);
}

#[test]
fn the_disk_and_the_time_that_results_are_kept_are_read() {
    let text = format!("{SOUND}[jobs]\nresults_kept_s = 120\ndisk_mb = 47\n");
    let settings = ServingSettings::parse(&text, Path::new("node.toml")).expect("they are sound");
    assert_eq!(settings.jobs.results_kept().0, 120_000);
    assert_eq!(settings.jobs.disk_bytes(), Some(47_000_000));
}

#[test]
fn a_job_is_taken_only_while_the_disk_has_room_for_a_second_snapshot() {
    let mut budget = DiskBudget::new(Some(100_000_000));
    assert!(budget.has_capacity_for(1_000_000));
    budget.set_used(34_000_000);
    assert!(budget.has_capacity_for(1_000_000));
    assert!(!budget.has_capacity_for(2_000_000));
    budget.set_used(36_000_000);
    assert!(!budget.has_capacity_for(0));
    let mut endless = DiskBudget::new(None);
    endless.set_used(u64::MAX / 4);
    assert!(endless.has_capacity_for(1 << 40));
}
