//! Which runs without a complete answer count if their worker turns out to have crashed.

/// Number of events of a run after which the worker has survived the request: it lived on after it had begun to answer.
const SURVIVED_EVENTS: u64 = 2;

/// How a run without a complete answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncompleteEnd {
    /// The worker broke off its answer, or stopped answering.
    BrokenOff,
    /// This node stopped the run: it was paused, or its result is no longer needed.
    Abandoned,
}

impl IncompleteEnd {
    /// Returns the name used in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::BrokenOff => "BrokenOff",
            Self::Abandoned => "Abandoned",
        }
    }

    /// Returns whether a crash of the worker after the run counts against the request. A worker may run a request for a
    /// moment after this node abandoned it, but if it had survived the request by then, a later crash has another cause.
    pub fn counts_if_crashed(self, events: u64) -> bool {
        match self {
            Self::BrokenOff => true,
            Self::Abandoned => !has_survived(events),
        }
    }
}

/// Returns whether a worker that sent this number of events has survived the request, so that no part of its prompt crashes
/// workers.
pub fn has_survived(events: u64) -> bool {
    events >= SURVIVED_EVENTS
}
