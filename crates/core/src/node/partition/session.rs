//! Session records, which map each session to the engine that serves it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::EngineName;
use crate::time::UnixMillis;

/// Identifies a session within a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionKey {
    /// The tenant that owns the session.
    pub tenant: Arc<str>,
    /// Session name given by the caller.
    pub session: Arc<str>,
}

/// The placement of a session. It is replicated and therefore survives the loss of the engine or node
/// that served the session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The model that the session uses.
    pub model: Arc<str>,
    /// The engine that holds the session's KV cache.
    pub engine: EngineName,
    /// Incremented with each move; a move based on an older generation is rejected.
    pub generation: u64,
    /// Time of the last change, by the proposing node's clock.
    pub placed_at: UnixMillis,
}
