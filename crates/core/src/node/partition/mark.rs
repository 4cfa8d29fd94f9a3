//! Marks, which limit each non-repeatable request to at most one run.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::AttemptId;
use crate::time::UnixMillis;

/// Identifies a non-repeatable request by tenant and idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// The tenant that sent the request.
    pub tenant: Arc<str>,
    /// Idempotency key given by the caller.
    pub key: Arc<str>,
}

/// The final state of a marked request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request was not sent, or the engine declined it before running. It may be retried.
    NotRun,
    /// The request ran and the complete response was sent to the caller.
    Answered,
    /// The request may have run.
    Unknown,
}

/// The mark of a non-repeatable request. It names the only attempt that may send the request, and is
/// replicated before the request is sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Digest of the request. Reusing the key with a different digest is a conflict.
    pub digest: u64,
    /// The attempt that may send the request.
    pub holder: AttemptId,
    /// The final state; `None` while the holder may still send the request.
    pub settlement: Option<Settlement>,
    /// Time at which the mark was created, by the proposing node's clock.
    pub marked_at: UnixMillis,
}
