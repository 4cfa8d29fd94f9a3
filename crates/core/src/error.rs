//! The kinds of errors with which requests are refused, and the answer for each kind.
//!
//! Every error that a caller or operator receives has one of these kinds. A test checks that
//! `docs/ERRORS.md` matches the table.

use serde::{Deserialize, Serialize};

/// Whether a refused request was executed by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Not executed: the request was not sent to an engine, or the engine refused it before running.
    NotRun,
    /// Possibly executed.
    Unknown,
    /// Executed, at least in part.
    Ran,
}

impl Ran {
    /// Returns the value used in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// The default answer for an error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was executed, as far as the kind alone determines it.
    pub ran: Ran,
    /// The time after which the caller may retry, in milliseconds. `None` if a retry cannot succeed.
    pub retry_after_ms: Option<u64>,
    /// A one-sentence description of the error.
    pub meaning: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $status:literal, $ran:ident, $retry:expr, $meaning:literal;)*) => {
        /// The kind of an error with which a request is refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum ErrorKind {
            $(#[doc = $meaning] $(#[$doc])* $name,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$name,)*];

            /// Returns the stable code used in answers and documentation.
            pub fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the default answer for this kind.
            pub fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$name => ErrorAnswer {
                        status: $status,
                        ran: Ran::$ran,
                        retry_after_ms: $retry,
                        meaning: $meaning,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    MalformedRequest = "malformed_request", 400, NotRun, None, "The request could not be read.";
    BodyTooLarge = "body_too_large", 413, NotRun, None, "The body is over the limit.";
    UnknownPath = "unknown_path", 404, NotRun, None, "There is nothing at this path.";
    UnknownModel = "unknown_model", 404, NotRun, None, "No service offers this model.";
    UnknownAdapter = "unknown_adapter", 404, NotRun, None, "The model has no such adapter.";
    UnknownKey = "unknown_key", 401, NotRun, None, "The request carries no API key of a known tenant.";
    UnknownTenant = "unknown_tenant", 403, NotRun, None, "The configuration names no such tenant.";
    UnknownJob = "unknown_job", 404, NotRun, None, "There is no such job.";
    UnknownExplanation = "unknown_explanation", 404, NotRun, None, "This node holds no explanation under this id.";
    RateExceeded = "rate_exceeded", 429, NotRun, Some(1_000), "The tenant has exceeded its request rate limit.";
    KeyConflict = "key_conflict", 409, NotRun, None, "The idempotency key was used before with other content.";
    JobCancelled = "job_cancelled", 409, NotRun, None, "The job was cancelled.";
    TenantLimit = "tenant_limit", 429, NotRun, Some(1_000), "The tenant has reached its limit of requests in flight.";
    Overloaded = "overloaded", 503, NotRun, Some(1_000), "No engine has room for the request.";
    NoEngine = "no_engine", 503, NotRun, Some(2_000), "No live engine carries the model.";
    NotConfigured = "not_configured", 503, NotRun, Some(2_000), "The node has no configuration yet.";
    RequestQuarantined = "request_quarantined", 503, NotRun, Some(300_000), "Several workers crashed in a row while running this request; it is quarantined for a limited time.";
    RegionUnavailable = "region_unavailable", 503, NotRun, Some(60_000), "The request cannot be served within the regions that the route and the tenant allow.";
    Stopping = "stopping", 503, NotRun, Some(500), "The node is stopping; another node takes the request.";
    StateUnavailable = "state_unavailable", 503, NotRun, Some(1_000), "The replicated state could not be reached in time.";
    EngineRefused = "engine_refused", 503, NotRun, Some(1_000), "The engine refused before running.";
    EngineLost = "engine_lost", 502, Unknown, Some(1_000), "The engine was lost while the request ran.";
    AnswerIncomplete = "answer_incomplete", 502, Ran, Some(1_000), "The answer broke off and could not be completed.";
    DeadlineExceeded = "deadline_exceeded", 504, Unknown, Some(1_000), "The deadline passed first.";
    DeadlineUnmet = "deadline_unmet", 504, NotRun, Some(1_000), "The deadline passed before the request was sent to an engine.";
    OutcomeUnknown = "outcome_unknown", 409, Unknown, None, "The request is not repeatable, was sent before, and its outcome is not known.";
    AlreadyRan = "already_ran", 409, Ran, None, "The request is not repeatable and already ran.";
    ConfigurationInvalid = "configuration_invalid", 422, NotRun, None, "The configuration has errors; nothing was applied.";
    ConfigurationConflict = "configuration_conflict", 409, NotRun, None, "Another revision was accepted since the one this change was made against.";
    ConfigurationOutcomeUnknown = "configuration_outcome_unknown", 503, Unknown, Some(5_000), "The key-value service did not say whether the revision was accepted.";
    PlatformUnavailable = "platform_unavailable", 503, NotRun, Some(5_000), "The key-value service can't be reached; nothing was applied.";
    Internal = "internal", 500, Unknown, Some(1_000), "A fault in stallmoor itself.";
}

/// An error answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind, which determines the status code.
    pub kind: ErrorKind,
    /// Whether the request was executed. Defaults to the kind's value, which is overridden if more is known.
    pub ran: Ran,
    /// The time after which the caller may retry, in milliseconds. `None` if a retry cannot succeed.
    pub retry_after_ms: Option<u64>,
    /// The specific cause.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal with the default answer for `kind`.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        let answer = kind.answer();
        Self { kind, ran: answer.ran, retry_after_ms: answer.retry_after_ms, detail: detail.into() }
    }

    /// Sets whether the request was executed.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the time after which the caller may retry, in milliseconds.
    pub fn with_retry_after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}
