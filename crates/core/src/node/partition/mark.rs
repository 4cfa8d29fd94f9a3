//! Marks of requests that must run at most once.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::AttemptId;
use crate::time::UnixMillis;

/// What names a not-repeatable request: its tenant and idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// Who sent it.
    pub tenant: Arc<str>,
    /// The caller's idempotency key.
    pub key: Arc<str>,
}

/// What became of a marked request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// Nothing was sent to an engine, or the engine refused before running. It may be tried again.
    NotRun,
    /// It ran and the caller was sent the whole answer.
    Answered,
    /// It may have run.
    Unknown,
}

/// The mark of one not-repeatable request. It is replicated before the request's first byte leaves
/// for an engine, and names the one attempt that may send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Digest of the request; the same key with another digest is a conflict.
    pub digest: u64,
    /// The attempt that holds the right to send.
    pub holder: AttemptId,
    /// What became of it; `None` while the holder may still send.
    pub settlement: Option<Settlement>,
    /// When the mark was made, by the proposing node's clock.
    pub marked_at: UnixMillis,
}
