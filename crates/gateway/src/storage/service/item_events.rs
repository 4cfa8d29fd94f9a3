//! The log events of batch items that the leader runs.

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::crashes::{ItemWait, RequestKeys};
use stallmoor_core::serving::jobs::command::{ItemKey, PartialOutput};
use stallmoor_core::serving::workers::Choice;
use stallmoor_core::time::UnixMillis;

use crate::observe::journal::{Field, record};

pub(super) fn log_run_end(key: &ItemKey, end: &str, output: &PartialOutput) {
    let fields = [
        Field::text("job", &key.job),
        Field::number("item", key.item),
        Field::text("end", end),
        Field::number("events", output.last_event.unwrap_or(0)),
    ];
    record(LogEvent::ItemRunEnded, &fields);
}

pub(super) fn log_trial(key: &ItemKey, keys: &RequestKeys) {
    let fields = [Field::text("job", &key.job), Field::number("item", key.item), Field::text("digest", keys.content)];
    record(LogEvent::QuarantineTrial, &fields);
}

pub(super) fn log_wait(key: &ItemKey, keys: &RequestKeys, wait: &ItemWait, wall_time: UnixMillis) {
    let fields = [
        Field::text("job", &key.job),
        Field::number("item", key.item),
        Field::text("digest", keys.content),
        Field::text("reason", wait.reason.name()),
        Field::number("crashes", wait.crashes as u64),
        Field::number("for_ms", wait.until.0.saturating_sub(wall_time.0)),
    ];
    record(LogEvent::ItemWaits, &fields);
}

pub(super) fn log_restart(key: &ItemKey, events: u64) {
    let fields = [Field::text("job", &key.job), Field::number("item", key.item), Field::number("events", events)];
    record(LogEvent::ItemRestarted, &fields);
}

pub(super) fn log_run_start(key: &ItemKey, choice: &Choice, output: &PartialOutput) {
    let fields = [
        Field::text("job", &key.job),
        Field::number("item", key.item),
        Field::text("worker", &choice.id),
        Field::number("after_event", output.last_event.unwrap_or(0)),
        Field::number("load", choice.load),
        Field::number("candidates", choice.candidates as u64),
        Field::text("standing", choice.availability.name()),
        Field::text("version", &choice.version),
    ];
    record(LogEvent::ItemRunStarted, &fields);
}
