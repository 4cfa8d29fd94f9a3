//! What a process lets its operators see. Nothing waits for it: lines that find no room are dropped and counted.
//!
//! | module | owns |
//! |---|---|
//! | [`journal`] | structured log lines: numbered events with named fields |
//! | [`log_writer`] | writing those lines without ever blocking the process |
//! | [`measures`] | counters, gauges and histograms, and the address that serves them |

pub mod journal;
pub mod log_writer;
pub mod measures;
