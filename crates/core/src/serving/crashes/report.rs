//! What nodes tell each other of requests under which workers died.
//!
//! Each node keeps one record of its own in the metadata store, from where all others have it within moments. Nodes of
//! earlier versions pass over it. The JSON names are stored and don't change.

use serde::{Deserialize, Serialize};

use super::digest::RequestDigest;
use crate::serving::workers::WorkerId;
use crate::time::UnixMillis;

/// A worker died while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub digest: RequestDigest,
    /// The worker.
    pub worker: WorkerId,
    /// When, by the clock of the node that saw it.
    pub at: UnixMillis,
    /// The last event of the request's answer before, 0 for none.
    #[serde(default)]
    pub progress: u64,
}

/// A request ran to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The request.
    pub digest: RequestDigest,
    /// When, by the clock of the node that saw it.
    pub at: UnixMillis,
}

/// What one node saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Workers that died.
    #[serde(default)]
    pub crashes: Vec<Crash>,
    /// Requests that ran to their end later, which clears them of what was before.
    #[serde(default)]
    pub completions: Vec<Completion>,
}
