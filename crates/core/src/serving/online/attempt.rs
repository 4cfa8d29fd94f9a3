//! Outcomes of attempts to run a request on a worker, and whether another attempt is allowed.
//!
//! A request counts as not run only if the connection was never established, no byte of the request was sent, or the
//! worker stated that it did not run it. All code that needs to know whether a request may have run relies on this
//! module.

use super::answer_limits::AnswerPart;
use crate::serving::configuration::RouteKind;

/// The outcome of an attempt that ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The worker did not run the request.
    NotRun {
        /// Whether a worker other than the addressed one answered.
        other_instance: bool,
    },
    /// The worker answered with a server error.
    Failed {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The connection broke, or the answer does not belong to this request.
    Broken,
    /// The worker sent nothing before the timeout.
    Silent,
    /// The answer exceeds a limit.
    TooLarge {
        /// The part that exceeds its limit.
        part: AnswerPart,
    },
    /// This node has no memory left to hold the answer, which says nothing about the worker.
    NoMemory,
}

impl AttemptEnd {
    /// Returns the name used as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::NotRun { .. } => "not_run",
            Self::Failed { .. } => "failed",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::TooLarge { .. } => "too_large",
            Self::NoMemory => "no_memory",
        }
    }

    /// Returns whether the worker may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotConnected | Self::NotRun { .. })
    }
}

/// The parts of an answer's head that show whether it is valid and whether the request ran.
#[derive(Clone, Copy, Debug)]
pub struct AnswerMetadata<'a> {
    /// The HTTP status.
    pub status: u16,
    /// The ID of the request that is answered.
    pub request_id: Option<&'a str>,
    /// Whether the answer carries the worker's signature.
    pub is_signed: bool,
    /// Whether the worker states that it did not run the request.
    pub not_run: bool,
    /// Whether a worker other than the addressed one answered.
    pub other_instance: bool,
    /// Whether callers take the status for a promise that the request was not run.
    pub promises_not_run: bool,
}

impl AnswerMetadata<'_> {
    /// Checks that this is the answer to the given request. A success must carry both the signature and the ID, since
    /// it is forwarded to the caller unchanged. For the same reason a status that promises that the request was not run
    /// must come with the worker's statement.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed if the answer is not valid or the request was not run.
    pub fn check(&self, request_id: &str) -> Result<(), AttemptEnd> {
        if self.request_id.is_some_and(|id| id != request_id) {
            // This is the answer to another request.
            return Err(AttemptEnd::Broken);
        }
        if self.not_run {
            return Err(AttemptEnd::NotRun { other_instance: self.other_instance });
        }
        if self.promises_not_run {
            return Err(AttemptEnd::Broken);
        }
        let is_success = (200..300).contains(&self.status);
        let is_verified = self.is_signed && self.request_id.is_some();
        if is_success && !is_verified { Err(AttemptEnd::Broken) } else { Ok(()) }
    }
}

/// Counts the finished attempts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts that may have run.
    pub ran: u32,
    /// Attempts that certainly did not run, in the current round.
    pub not_run: u32,
}

/// Maximum number of attempts per round that end without running, so that a request does not try every worker of a
/// saturated fleet.
const MAX_NOT_RUN_ATTEMPTS: u32 = 6;

impl AttemptCounts {
    /// Counts a finished attempt.
    pub fn record(&mut self, end: AttemptEnd) {
        if end.may_have_run() {
            self.ran += 1;
        } else {
            self.not_run += 1;
        }
    }

    /// Returns whether another attempt is allowed in the current round.
    pub fn may_retry(&self, kind: RouteKind, max_attempts: u32) -> bool {
        self.may_run(kind, max_attempts) && self.not_run < MAX_NOT_RUN_ATTEMPTS
    }

    /// Returns whether the request may run once more, in this round or a later one.
    pub fn may_run(&self, kind: RouteKind, max_attempts: u32) -> bool {
        self.ran == 0 || (kind.is_retryable() && self.ran < max_attempts)
    }

    /// Starts a new round by resetting the number of attempts that did not run.
    pub fn begin_round(&mut self) {
        self.not_run = 0;
    }

    /// Returns whether no attempt can have run the request, so that the caller may safely repeat it.
    pub fn certainly_not_run(&self) -> bool {
        self.ran == 0
    }
}
