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
use crate::time::Millis;

/// A message between nodes. Any of them may be lost, doubled or late.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Membership.
    Membership(MembershipMessage),
    /// Replication within a group.
    Replication(ReplicationMessage),
    /// A command or query for a group's leader.
    GroupRequest(GroupRequest),
    /// Its answer.
    GroupAnswer(GroupAnswer),
    /// Spreading of configuration.
    Configuration(ConfigurationMessage),
    /// Sharing of engines between online and batch.
    Credit(CreditMessage),
    /// Engines that are leaving.
    EnginesLeaving(Vec<LeavingFact>),
    /// Where are the groups?
    DirectoryRequest {
        /// Who asks.
        from: NodeId,
    },
    /// Where the groups are.
    DirectoryAnswer {
        /// How many groups there are.
        group_count: u32,
        /// Those known.
        entries: Vec<DirectoryEntry>,
    },
    /// How are you?
    StatusRequest {
        /// Who asks.
        from: NodeId,
        /// Comes back with the answer.
        id: u64,
    },
    /// How I am.
    StatusAnswer {
        /// From the request.
        id: u64,
        /// The status.
        status: NodeStatus,
    },
}

impl PeerMessage {
    /// A short name of what it is about, for figures.
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
    /// Comes back with the answer; unique at the sender.
    pub id: u64,
    /// Who asks.
    pub from: NodeId,
    /// The group.
    pub group: GroupId,
    /// What is asked.
    pub body: GroupRequestBody,
}

/// What is asked of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupRequestBody {
    /// A change.
    Command(Command),
    /// A read.
    Query(Query),
    /// Something of the table of pass-through jobs.
    Jobs(JobsRequest),
    /// What changed in the metadata store.
    Changes(ChangesRequest),
    /// The same, where the answer may be all that the metadata store holds, packed.
    Follow(ChangesRequest),
}

impl GroupRequestBody {
    fn name(&self) -> &'static str {
        match self {
            Self::Command(_) => "command",
            Self::Query(_) => "query",
            Self::Jobs(request) => request.name(),
            Self::Changes(_) | Self::Follow(_) => "follow",
        }
    }
}

/// The answer to a group request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAnswer {
    /// From the request.
    pub id: u64,
    /// The group.
    pub group: GroupId,
    /// The answer, or why there is none.
    pub result: Result<GroupAnswerBody, GroupRefusal>,
}

/// What a group answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupAnswerBody {
    /// What the command did.
    Outcome(CommandOutcome),
    /// The answer to the query.
    Answer(QueryAnswer),
    /// The answer of the table of pass-through jobs.
    Jobs(JobsAnswer),
    /// What changed in the metadata store.
    Changes(ChangesAnswer),
    /// All that the metadata store holds, packed.
    Contents(ContentsAnswer),
}

impl GroupAnswerBody {
    fn name(&self) -> &'static str {
        match self {
            Self::Outcome(_) => "outcome",
            Self::Answer(_) => "answer",
            Self::Jobs(answer) => answer.name(),
            Self::Changes(_) => "changes",
            Self::Contents(_) => "contents",
        }
    }
}

/// Why a group request was not served. The command may have taken effect all the same if the leader
/// changed meanwhile; all commands bear repeating.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupRefusal {
    /// This node does not lead the group.
    NotLeader {
        /// The term in which this is so.
        term: Term,
        /// Who leads, if known.
        leader: Option<NodeId>,
    },
    /// The leader is not established yet, or has too much in hand.
    Busy,
}

/// Spreading of configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationMessage {
    /// A revision is in force at the sender.
    Offer {
        /// Who offers.
        from: NodeId,
        /// The revision.
        revision: u64,
    },
    /// Send me your manifest.
    ManifestRequest {
        /// Who asks.
        from: NodeId,
    },
    /// The manifest in force at the sender.
    ManifestAnswer {
        /// Who answers.
        from: NodeId,
        /// The manifest.
        manifest: Manifest,
    },
    /// Send me these parts.
    PartsRequest {
        /// Who asks.
        from: NodeId,
        /// The parts.
        digests: Vec<PartDigest>,
    },
    /// A part.
    PartAnswer {
        /// Its digest.
        digest: PartDigest,
        /// Its content.
        content: Arc<str>,
    },
}

/// Sharing of engines between online and batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CreditMessage {
    /// The sender has this many online requests at the engine.
    OnlineNotice {
        /// The engine.
        engine: EngineName,
        /// The sender.
        from: NodeId,
        /// Online requests in flight.
        in_flight: u32,
    },
    /// The sender would like to have this many batch streams at the engine in all.
    Ask {
        /// The engine.
        engine: EngineName,
        /// The sender.
        from: NodeId,
        /// How many streams.
        want: u32,
    },
    /// The receiver may have this many batch streams at the engine.
    Grant {
        /// The engine.
        engine: EngineName,
        /// How many streams.
        limit: u32,
        /// For how long.
        lifetime: Millis,
    },
}
