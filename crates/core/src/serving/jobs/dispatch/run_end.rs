//! What a worker's answer to a batch item, or its silence, means for the item.

use crate::serving::online::attempt::AttemptEnd;
use crate::time::Millis;

/// How long the first event of a run is waited for, in milliseconds. Frees an item whose worker fell silent.
pub const FIRST_EVENT_TIMEOUT: Millis = Millis(2_500);
/// How long each further event of a run is waited for, in milliseconds. The same within a stream.
pub const EVENT_TIMEOUT: Millis = Millis(1_500);

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole output came.
    Completed,
    /// The worker says that the item can never be done.
    Impossible,
    /// The worker failed the item.
    Failed,
    /// The run broke off; what came so far is kept.
    BrokenOff,
    /// The run was stopped for online requests; what came so far is kept.
    Paused,
    /// The item did not run.
    NotRun,
}

impl RunEnd {
    /// What the status of a worker's answer means. `None` if the item's output follows.
    pub fn from_status(status: u16) -> Option<Self> {
        match status {
            200..=299 => None,
            // Unprocessable content: by this a worker says that the request can never be done.
            422 => Some(Self::Impossible),
            _ => Some(Self::Failed),
        }
    }

    /// What an attempt that brought no answer means. Nothing is known of an attempt that broke or fell silent, so it
    /// counts as a run; one that surely did not begin does not.
    pub fn from_attempt(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::NotConnected | AttemptEnd::NotRun { .. } => Self::NotRun,
            AttemptEnd::Failed { .. } | AttemptEnd::Broken | AttemptEnd::Silent => Self::BrokenOff,
        }
    }

    /// A short name, for figures.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Impossible => "impossible",
            Self::Failed => "failed",
            Self::BrokenOff => "broken_off",
            Self::Paused => "paused",
            Self::NotRun => "not_run",
        }
    }
}
