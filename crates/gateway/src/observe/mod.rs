//! Logging and metrics. Neither blocks the process: log lines that exceed the queue are dropped and counted.
//!
//! | module | contents |
//! |---|---|
//! | [`journal`] | structured log lines: numbered events with named fields |
//! | [`large_answers`] | the record of answers that exceed a limit on their size |
//! | [`log_writer`] | the thread that writes log lines |
//! | [`stall_reports`] | events and gauges about items that make no progress |
//! | [`status`] | what the process knows of such items, as JSON |
//! | [`measures`] | counters, gauges and histograms, and the endpoint that serves them |

pub mod journal;
pub mod large_answers;
pub mod log_writer;
pub mod measures;
pub mod stall_reports;
pub mod status;
