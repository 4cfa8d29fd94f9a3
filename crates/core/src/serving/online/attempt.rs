//! How an attempt at a worker ended, and what follows from it.
//!
//! One place decides whether a request may have run. Only a connection that was never established, the worker's own
//! statement, or a write of which no byte left count as "not run".

use crate::serving::configuration::RouteKind;

/// How an attempt ended before anything of it was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection: nothing was sent.
    NotConnected,
    /// The worker says that it did not run the request.
    NotRun {
        /// It is not the worker that was meant.
        other_instance: bool,
    },
    /// The worker failed the request with a status of its own.
    Failed {
        /// The status.
        status: u16,
    },
    /// The connection broke, or brought what is no answer to this request.
    Broken,
    /// Nothing came for too long.
    Silent,
}

impl AttemptEnd {
    /// A short name, for figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::NotRun { .. } => "not_run",
            Self::Failed { .. } => "failed",
            Self::Broken => "broken",
            Self::Silent => "silent",
        }
    }

    /// Whether the worker may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotConnected | Self::NotRun { .. })
    }
}

/// What the head of a worker's answer says, besides the content.
#[derive(Clone, Copy, Debug)]
pub struct AnswerMetadata<'a> {
    /// The HTTP status.
    pub status: u16,
    /// The id of the request that it answers.
    pub request_id: Option<&'a str>,
    /// It bears the signature of the worker.
    pub is_signed: bool,
    /// The worker says that it did not run the request.
    pub not_run: bool,
    /// The worker is not the one that was meant.
    pub other_instance: bool,
}

impl AnswerMetadata<'_> {
    /// Whether this is the answer to the request with that id. A success counts only with a signature and the id: it
    /// would be passed on as it is.
    ///
    /// # Errors
    ///
    /// [`AttemptEnd`]: how the attempt ended instead.
    pub fn check(&self, request_id: &str) -> Result<(), AttemptEnd> {
        if self.request_id.is_some_and(|id| id != request_id) {
            // The answer to another request came in this one's place.
            return Err(AttemptEnd::Broken);
        }
        if self.not_run {
            return Err(AttemptEnd::NotRun { other_instance: self.other_instance });
        }
        let is_success = (200..300).contains(&self.status);
        let is_vouched = self.is_signed && self.request_id.is_some();
        if is_success && !is_vouched { Err(AttemptEnd::Broken) } else { Ok(()) }
    }
}

/// What is known of a request's attempts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptLedger {
    /// Attempts that may have run.
    pub ran: u32,
    /// Attempts that certainly did not run.
    pub not_run: u32,
}

/// Most attempts of one request, in one round, that ended without running, so that a saturated fleet isn't asked worker
/// by worker.
const MOST_NOT_RUN: u32 = 6;

impl AttemptLedger {
    /// Notes the end of an attempt.
    pub fn note(&mut self, end: AttemptEnd) {
        if end.may_have_run() {
            self.ran += 1;
        } else {
            self.not_run += 1;
        }
    }

    /// Whether another attempt is allowed.
    pub fn may_retry(&self, kind: RouteKind, max_attempts: u32) -> bool {
        self.may_run(kind, max_attempts) && self.not_run < MOST_NOT_RUN
    }

    /// Whether the request may run once more, at any time.
    pub fn may_run(&self, kind: RouteKind, max_attempts: u32) -> bool {
        self.ran == 0 || (kind.is_retryable() && self.ran < max_attempts)
    }

    /// Forgets the attempts that did not run: the caller has waited since, so another round may begin.
    pub fn begin_round(&mut self) {
        self.not_run = 0;
    }

    /// Whether the request certainly did not run, so that its caller may be told so.
    pub fn certainly_not_run(&self) -> bool {
        self.ran == 0
    }
}
