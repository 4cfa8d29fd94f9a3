//! Messages about the origins of streams, from gateways to storage nodes and back.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::origin::{StreamKey, StreamOrigin};
use super::rule::{NodeKnowledge, Statement};

/// The origin of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Key of the stream.
    pub key: StreamKey,
    /// Origin of the stream.
    pub origin: StreamOrigin,
}

/// A request to a storage node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginsRequest {
    /// Stores the origins of streams.
    Store(Vec<OriginRecord>),
    /// Requests what the node knows of a stream.
    Find {
        /// Key of the stream; `None` if its client did not name it.
        key: Option<StreamKey>,
        /// Service that the stream's route leads to.
        service: Arc<str>,
    },
    /// Like [`Self::Find`]; a node without a record of the stream first confirms its view of the workers, if it can.
    FindConfirmed {
        /// Key of the stream; `None` if its client did not name it.
        key: Option<StreamKey>,
        /// Service that the stream's route leads to.
        service: Arc<str>,
    },
}

/// The answer to an [`OriginsRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginsAnswer {
    /// The origins are stored.
    Stored,
    /// What the node knows of the stream.
    Found(NodeKnowledge),
    /// What the node states about the stream, in answer to [`OriginsRequest::FindConfirmed`].
    Stated(Statement),
}
