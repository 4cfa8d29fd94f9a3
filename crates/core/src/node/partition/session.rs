//! Session records: which engine holds a session, and since which move.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::EngineName;
use crate::time::UnixMillis;

/// What names a session.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SessionKey {
    /// Whose session it is.
    pub tenant: Arc<str>,
    /// The caller's name for it.
    pub session: Arc<str>,
}

/// Where a session lives. It is replicated, so it outlives the engine and the node that served it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The model the session talks to.
    pub model: Arc<str>,
    /// The engine that holds its KV cache.
    pub engine: EngineName,
    /// Grows by one with each move; a move from an older generation is refused.
    pub generation: u64,
    /// When the record last changed, by the proposing node's clock.
    pub placed_at: UnixMillis,
}
