//! The origin of a stream, and the key under which nodes store it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hashing::hash_parts;
use crate::serving::configuration::tenant::CallerIdentity;
use crate::serving::workers::SoftwareVersion;

/// The service and the software version of the worker that sent a stream's first event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the worker.
    pub service: Arc<str>,
    /// Version of the worker's software.
    pub version: SoftwareVersion,
}

/// Identifies a stream across all attempts of its client: a digest of the caller and of the ID of the attempt that
/// brought the first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Computes the key. All nodes and versions must compute the same.
    pub fn of(identity: &CallerIdentity, first_attempt: &str) -> Self {
        let tenant = identity.tenant().map_or("", |tenant| tenant.as_str());
        Self(hash_parts(&[tenant.as_bytes(), first_attempt.as_bytes()]))
    }
}

impl std::fmt::Display for StreamKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
