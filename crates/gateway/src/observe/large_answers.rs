//! The log line and metric of answers that exceed a limit on their size.

use std::fmt::Display;

use stallmoor_core::log_event::LogEvent;

use super::journal::{Field, record};
use super::measures;

/// Records an answer that exceeded the limit of `part`. `sender` is the ID of a worker or the address of another
/// server; `request` is empty if the answer belongs to no request of a caller.
pub fn record_large_answer(sender: impl Display, request: &str, part: &'static str, limit: usize) {
    let fields = [
        Field::text("sender", sender),
        Field::text("request", request),
        Field::text("part", part),
        Field::number("limit_bytes", limit as u64),
    ];
    record(LogEvent::AnswerTooLarge, &fields);
    measures::count_large_answer(part);
}
