//! Messages between nodes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{EngineName, GroupId, NodeId};
use crate::node::NodeStatus;
use crate::node::configuration::{Manifest, PartDigest};
use crate::node::control::DirectoryEntry;
use crate::node::membership::MembershipMessage;
use crate::node::partition::{Command, CommandOutcome, Query, QueryAnswer};
use crate::node::routing::LeavingFact;
use crate::replication::{ReplicationMessage, Term};
use crate::serving::jobs::request::{JobsAnswer, JobsRequest};
use crate::serving::relay::contents::ContentsAnswer;
use crate::serving::relay::message::{ChangesAnswer, ChangesRequest};
use crate::serving::stream_origins::message::{OriginsAnswer, OriginsRequest};
use crate::time::Millis;

/// A message between nodes. Messages may be lost, duplicated or delayed.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Failure detection and membership of the fleet.
    Membership(MembershipMessage),
    /// Log replication within a group.
    Replication(ReplicationMessage),
    /// A command or query for a group's leader.
    GroupRequest(GroupRequest),
    /// The answer to a [`GroupRequest`].
    GroupAnswer(GroupAnswer),
    /// Distribution of the configuration.
    Configuration(ConfigurationMessage),
    /// Allocation of engine capacity between online requests and batch work.
    Credit(CreditMessage),
    /// Engines that are shutting down.
    EnginesLeaving(Vec<LeavingFact>),
    /// Requests the receiver's directory of replica groups.
    DirectoryRequest {
        /// The requesting node.
        from: NodeId,
    },
    /// The answer to a directory request.
    DirectoryAnswer {
        /// The total number of replica groups.
        group_count: u32,
        /// The entries for the groups known to the sender.
        entries: Vec<DirectoryEntry>,
    },
    /// Requests the receiver's status.
    StatusRequest {
        /// The requesting node.
        from: NodeId,
        /// The request identifier, echoed in the answer.
        id: u64,
    },
    /// The answer to a status request.
    StatusAnswer {
        /// The identifier of the answered request.
        id: u64,
        /// The sender's status.
        status: NodeStatus,
    },
}

impl PeerMessage {
    /// Returns the name under which the message is counted in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Membership(_) => "membership",
            Self::Replication(message) => message.kind.name(),
            Self::GroupRequest(request) => request.body.name(),
            Self::GroupAnswer(GroupAnswer { result: Ok(body), .. }) => body.name(),
            Self::GroupAnswer(GroupAnswer { result: Err(_), .. }) => "refusal",
            Self::Configuration(_) => "configuration",
            Self::Credit(_) => "credit",
            Self::EnginesLeaving(_) => "engines_leaving",
            Self::DirectoryRequest { .. } | Self::DirectoryAnswer { .. } => "directory",
            Self::StatusRequest { .. } | Self::StatusAnswer { .. } => "status",
        }
    }
}

/// A command or query for a group's leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRequest {
    /// The request identifier, unique per sender and echoed in the answer.
    pub id: u64,
    /// The requesting node.
    pub from: NodeId,
    /// The group that is to handle the request.
    pub group: GroupId,
    /// The content of the request.
    pub body: GroupRequestBody,
}

/// The content of a group request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupRequestBody {
    /// A command that changes the partition.
    Command(Command),
    /// A query that reads the partition.
    Query(Query),
    /// A request to the job table of gateways and storage nodes.
    Jobs(JobsRequest),
    /// A request for changes of the metadata store.
    Changes(ChangesRequest),
    /// A request for changes of the metadata store that also accepts its entire contents, compressed, as the answer.
    Follow(ChangesRequest),
    /// A request about the origins of streams.
    Origins(OriginsRequest),
}

impl GroupRequestBody {
    fn name(&self) -> &'static str {
        match self {
            Self::Command(_) => "command",
            Self::Query(_) => "query",
            Self::Jobs(request) => request.name(),
            Self::Changes(_) | Self::Follow(_) => "follow",
            Self::Origins(_) => "origins",
        }
    }
}

/// The answer to a group request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAnswer {
    /// The identifier of the answered request.
    pub id: u64,
    /// The group that answered.
    pub group: GroupId,
    /// The result of the request.
    pub result: Result<GroupAnswerBody, GroupRefusal>,
}

/// The content of a successful answer to a group request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupAnswerBody {
    /// The outcome of a command.
    Outcome(CommandOutcome),
    /// The answer to a query.
    Answer(QueryAnswer),
    /// An answer from the job table of gateways and storage nodes.
    Jobs(JobsAnswer),
    /// Changes of the metadata store.
    Changes(ChangesAnswer),
    /// The entire contents of the metadata store, compressed.
    Contents(ContentsAnswer),
    /// An answer about the origins of streams.
    Origins(OriginsAnswer),
}

impl GroupAnswerBody {
    fn name(&self) -> &'static str {
        match self {
            Self::Outcome(_) => "outcome",
            Self::Answer(_) => "answer",
            Self::Jobs(answer) => answer.name(),
            Self::Changes(_) => "changes",
            Self::Contents(_) => "contents",
            Self::Origins(_) => "origins",
        }
    }
}

/// The reason why a group request was refused. If the leader changed in the meantime, the command may still have taken
/// effect. All commands are idempotent, so they can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupRefusal {
    /// The receiver is not the leader of the group.
    NotLeader {
        /// The receiver's current term.
        term: Term,
        /// The leader of that term, if known.
        leader: Option<NodeId>,
    },
    /// The leader has not committed an entry of its term yet, or is overloaded.
    Busy,
}

/// Messages that distribute the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationMessage {
    /// Announces the revision that is in effect at the sender.
    Offer {
        /// The announcing node.
        from: NodeId,
        /// The revision in effect.
        revision: u64,
    },
    /// Requests the receiver's manifest.
    ManifestRequest {
        /// The requesting node.
        from: NodeId,
    },
    /// The manifest in effect at the sender.
    ManifestAnswer {
        /// The answering node.
        from: NodeId,
        /// The manifest in effect.
        manifest: Manifest,
    },
    /// Requests configuration parts by their digests.
    PartsRequest {
        /// The requesting node.
        from: NodeId,
        /// The digests of the requested parts.
        digests: Vec<PartDigest>,
    },
    /// A single configuration part.
    PartAnswer {
        /// The digest of the content.
        digest: PartDigest,
        /// The content of the part.
        content: Arc<str>,
    },
}

/// Messages that allocate engine capacity between online requests and batch work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CreditMessage {
    /// Reports the number of online requests that the sender has in flight at an engine.
    OnlineNotice {
        /// The engine that serves the requests.
        engine: EngineName,
        /// The reporting node.
        from: NodeId,
        /// The number of online requests in flight.
        in_flight: u32,
    },
    /// Requests a total number of batch streams at an engine.
    Request {
        /// The engine on which to run the streams.
        engine: EngineName,
        /// The requesting node.
        from: NodeId,
        /// The requested number of streams.
        wanted_streams: u32,
    },
    /// Grants the receiver a number of batch streams at an engine.
    Grant {
        /// The engine on which to run the streams.
        engine: EngineName,
        /// The maximum number of streams.
        limit: u32,
        /// The time for which the grant is valid.
        lifetime: Millis,
    },
}
