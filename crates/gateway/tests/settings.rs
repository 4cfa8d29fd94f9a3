//! Guards against wrong defaults and conversions of settings, and against errors that do not name their location.

use std::path::Path;

use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_gateway::process::settings::ServingSettings;

const VALID: &str = "\
[node]\nname = \"a\"\nzone = \"z\"\naddress = \"10.0.0.1\"\n\
[listen]\npeer_port = 7000\n\
[metadata]\naddress = \"10.0.0.9:80\"\n";

fn problem(text: &str) -> String {
    let error = ServingSettings::parse(text, Path::new("node.toml")).expect_err("the settings must be rejected");
    let message = error.to_string();
    assert!(message.contains("node.toml"), "{message}");
    message
}

#[test]
fn missing_fields_get_their_defaults() {
    let settings = ServingSettings::parse(VALID, Path::new("node.toml")).expect("the settings are valid");
    assert_eq!(settings.peer_address().to_string(), "10.0.0.1:7000");
    assert_eq!(settings.tolerance.machines, 1);
    assert_eq!(settings.log.level, log::LevelFilter::Info);
}

#[test]
fn errors_name_the_file_and_the_line_or_field() {
    assert!(problem(&VALID.replace("peer_port = 7000", "peer_port = \"x\"")).contains("line 6"));
    assert!(problem(&VALID.replace("zone = \"z\"\n", "")).contains("zone"));
    assert!(problem(&VALID.replace("name = \"a\"", "name = \"\"")).contains("node.name"));
    assert!(problem(&VALID.replace("peer_port = 7000", "peer_port = 0")).contains("listen.peer_port"));
    assert!(problem(&format!("{VALID}[stop]\ngrace_s = 0.0\n")).contains("stop.grace_s"));
    for field in ["config_ms", "drain_ms", "contact_ms", "heartbeat_ms"] {
        for value in ["0", "nan", "3600001"] {
            let text = VALID.replace("[metadata]\n", &format!("[metadata]\n{field} = {value}\n"));
            assert!(problem(&text).contains(&format!("metadata.{field}")), "{field} = {value}");
        }
    }
    assert!(problem(&format!("{VALID}[jobs]\nresults_kept_s = 0\n")).contains("jobs.results_kept_s"));
    assert!(problem(&format!("{VALID}[jobs]\ndisk_mb = -1\n")).contains("jobs.disk_mb"));
    assert!(problem(&format!("{VALID}[surprise]\nx = 1\n")).contains("surprise"));
    assert!(problem(&format!("{VALID}[log]\nlevel = \"loud\"\n")).contains("level"));
}

#[test]
fn tolerated_replica_losses_are_the_maximum_of_machines_zones_and_regions() {
    let tolerance = |text: &str| {
        let text = format!("{VALID}[tolerance]\n{text}\n");
        ServingSettings::parse(&text, Path::new("node.toml")).expect("the settings are valid").tolerance.replicas()
    };
    assert_eq!(tolerance("machines = 2"), 2);
    assert_eq!(tolerance("machines = 0\nzones = 1"), 1);
    assert_eq!(tolerance("machines = 1\nzones = 1\nregions = 2"), 2);
}

#[test]
fn disk_size_and_result_retention_are_converted() {
    let text = format!("{VALID}[jobs]\nresults_kept_s = 120\ndisk_mb = 47\n");
    let settings = ServingSettings::parse(&text, Path::new("node.toml")).expect("the settings are valid");
    assert_eq!(settings.jobs.results_kept().0, 120_000);
    assert_eq!(settings.jobs.disk_bytes(), Some(47_000_000));
}

#[test]
fn a_job_needs_disk_capacity_for_a_second_snapshot() {
    let mut budget = DiskBudget::new(Some(100_000_000));
    assert!(budget.has_capacity_for(1_000_000));
    budget.set_used(34_000_000);
    assert!(budget.has_capacity_for(1_000_000));
    assert!(!budget.has_capacity_for(2_000_000));
    budget.set_used(36_000_000);
    assert!(!budget.has_capacity_for(0));
    let mut unlimited = DiskBudget::new(None);
    unlimited.set_used(u64::MAX / 4);
    assert!(unlimited.has_capacity_for(1 << 40));
}
