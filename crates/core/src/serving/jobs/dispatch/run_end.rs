//! The meaning of a worker's answer to a batch item, or of its absence.

use crate::serving::online::attempt::AttemptEnd;
use crate::serving::online::attribution::HeadVerdict;
use crate::time::Millis;

/// The time from the decision to start a run within which its request has to be sent. A leader that stood still for
/// longer may have been replaced, and the item's job may have ended since.
pub const SEND_TIMEOUT: Millis = Millis(500);
/// The timeout for the first event of a run, after which the item is freed from an unresponsive worker.
pub const FIRST_EVENT_TIMEOUT: Millis = Millis(2_500);
/// The timeout for each further event of a run.
pub const EVENT_TIMEOUT: Millis = Millis(1_500);

/// The outcome of a run of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The output is complete.
    Completed,
    /// The worker reported that the item can never be processed.
    Impossible,
    /// The worker reported a failure.
    Failed,
    /// The connection broke or the worker stopped responding. The output so far is retained.
    BrokenOff,
    /// The output exceeds the limit. It is discarded, and the item runs again from the start.
    OutputTooLarge,
    /// The run added nothing to the output of earlier ones, and it is not known whether the output is complete. It is
    /// discarded, and the item runs again from the start.
    Unconfirmed,
    /// The run was stopped in favor of online requests. The output so far is retained.
    Paused,
    /// The item did not run.
    NotRun,
}

impl RunEnd {
    /// Classifies the head of an answer. Returns `None` if the output follows. Only the worker itself can say that the
    /// item failed, so an answer that is not its own has broken the run off.
    pub fn from_head(status: u16, verdict: HeadVerdict) -> Option<Self> {
        match status {
            _ if verdict == HeadVerdict::Foreign => Some(Self::BrokenOff),
            200..=299 => None,
            // 422 Unprocessable Content: the worker can never process the request.
            422 => Some(Self::Impossible),
            _ => Some(Self::Failed),
        }
    }

    /// Classifies an attempt without an answer. The item may have run if the attempt broke or timed out, so such an
    /// attempt counts as a run, unlike one that certainly did not start.
    pub fn from_attempt(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::NotConnected | AttemptEnd::NotRun { .. } => Self::NotRun,
            AttemptEnd::Failed { .. }
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::TooLarge { .. }
            | AttemptEnd::NoMemory => Self::BrokenOff,
        }
    }

    /// Returns the name that is used as a metric label.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Impossible => "impossible",
            Self::Failed => "failed",
            Self::BrokenOff => "broken_off",
            Self::OutputTooLarge => "output_too_large",
            Self::Unconfirmed => "unconfirmed",
            Self::Paused => "paused",
            Self::NotRun => "not_run",
        }
    }
}
