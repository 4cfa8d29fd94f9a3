//! The events that a node takes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::effect::Effect;
use super::status::{FleetStatus, NodeStatus};
use crate::error::Refusal;
use crate::identity::{AttemptId, CallerId, EngineName, GroupId, JobId};
use crate::node::configuration::{ApplyId, Bundle, ConfigurationError};
use crate::node::online::{Explanation, OnlineCall};
use crate::node::partition::{FinishedItem, JobSummary, NewItem};
use crate::node::routing::{CacheEventBatch, LoadReport};
use crate::peer_message::PeerMessage;
use crate::time::{Millis, Timestamp, UnixMillis};

/// The time at an event.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Monotonic time, for everything that this node decides.
    pub now: Timestamp,
    /// Civil time, for deadlines that callers give and for records. It may jump.
    pub civil: UnixMillis,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message of another node.
    Peer(PeerMessage),
    /// An answer of the key-value service, or its absence.
    KeyValue {
        /// The call.
        call: KeyValueCall,
        /// How it ended.
        outcome: KeyValueOutcome,
    },
    /// The machine list.
    Machines(Vec<MachineReport>),
    /// An engine's load, or `None` if it did not answer.
    EngineLoad {
        /// The engine.
        engine: EngineName,
        /// Its report.
        report: Option<LoadReport>,
        /// Its cache events since the last poll.
        cache: Option<CacheEventBatch>,
    },
    /// How an order to an engine ended.
    Ordered {
        /// The engine.
        engine: EngineName,
        /// How.
        outcome: OrderOutcome,
    },
    /// Something came on a stream from an engine.
    Stream {
        /// The attempt that the stream is for.
        attempt: AttemptId,
        /// What came.
        event: StreamEvent,
    },
    /// A caller or operator asks.
    Call {
        /// The connection.
        caller: CallerId,
        /// What is asked.
        call: CallerCall,
    },
    /// A caller went away.
    CallerGone(CallerId),
    /// Stop by plan.
    Stop,
}

/// How an order to an engine ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out.
    Done {
        /// What the engine has loaded now, each as `model@version`.
        loaded: Vec<String>,
    },
    /// The engine has seen a later epoch.
    Fenced,
    /// No answer; it may have been carried out.
    NoAnswer,
}

/// Numbers a call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyValueCall(pub u64);

/// How a call to the key-value service ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueOutcome {
    /// The value and its version.
    Value {
        /// Grows with each write of the key.
        version: u64,
        /// The value.
        value: Arc<str>,
    },
    /// There is no such key.
    NotFound,
    /// The write took effect.
    Written,
    /// The write did not take effect: the stored version is another.
    VersionMismatch,
    /// No answer, or an error. A write may have taken effect.
    NoAnswer,
}

/// A machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineReport {
    /// The machine, which carries the engine of that name.
    pub engine: EngineName,
    /// Raised with each start.
    pub incarnation: u64,
    /// It is leaving.
    pub leaving: bool,
}

/// What comes on a stream from an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Tokens.
    Piece {
        /// The attempt that the engine says it answers.
        attempt: AttemptId,
        /// The place of the first token.
        first: u32,
        /// How many tokens.
        tokens: u32,
        /// Their text.
        text: String,
    },
    /// The answer is complete.
    End {
        /// The attempt that the engine says it answers.
        attempt: AttemptId,
        /// Tokens in the whole answer.
        length: u32,
    },
    /// Nothing was sent: there was no connection.
    NotSent,
    /// The engine refused before running.
    Refused {
        /// Because it is leaving.
        leaving: bool,
    },
    /// The engine refused the request for what it is, before running.
    Rejected {
        /// What it said.
        detail: String,
    },
    /// The stream broke after the request was sent.
    Broken {
        /// What happened.
        detail: String,
    },
}

/// What a caller or operator asks.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// One answer.
    Online(OnlineCall),
    /// Something about a batch job.
    Batch(BatchCall),
    /// Something about the fleet.
    Operator(OperatorCall),
}

/// A job as a caller submits it.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Who submits.
    pub tenant: Arc<str>,
    /// The idempotency key; drawn if absent.
    pub key: Option<Arc<str>>,
    /// The model.
    pub model: Arc<str>,
    /// The adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// The items.
    pub items: Vec<NewItem>,
    /// How long the job may take.
    pub within: Millis,
    /// Most tokens for an item; `None` takes the service's limit.
    pub max_tokens: Option<u32>,
    /// Accept the job at once; else it is only uploaded.
    pub accept: bool,
}

/// What is asked about batch jobs.
#[derive(Clone, Debug)]
pub enum BatchCall {
    /// Take a job.
    Submit(JobSubmission),
    /// Accept a job that was uploaded before.
    Accept(JobId),
    /// A tenant's jobs in one group; groups are numbered from 0.
    List {
        /// The tenant.
        tenant: Arc<str>,
        /// The group.
        group: GroupId,
        /// Most jobs wanted.
        limit: u32,
    },
    /// How far a job is.
    Status(JobId),
    /// Results from an item on.
    Results {
        /// The job.
        job: JobId,
        /// The first item wanted.
        first: u32,
        /// Most items looked at.
        limit: u32,
    },
    /// Stop a job.
    Cancel(JobId),
}

/// What an operator asks.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Apply a set of files.
    Apply {
        /// Names the change.
        id: ApplyId,
        /// The files.
        bundle: Bundle,
        /// The revision that the operator saw.
        expected_revision: Option<u64>,
    },
    /// The files in force.
    ReadConfiguration,
    /// How all nodes are.
    FleetStatus,
    /// How this node is.
    NodeStatus,
    /// The models offered.
    Models,
    /// The decisions for a request.
    Explain(Arc<str>),
}

/// What a caller or operator is answered.
#[derive(Clone, Debug)]
pub enum CallerAnswer {
    /// A piece of an online answer.
    Piece {
        /// The place of its first token.
        first: u32,
        /// How many tokens.
        tokens: u32,
        /// Its text.
        text: String,
    },
    /// The online answer is whole.
    End {
        /// Tokens in the whole answer.
        tokens: u32,
        /// The engine that ended it.
        engine: EngineName,
    },
    /// A refusal. After pieces were sent, it ends the answer as incomplete.
    Refused(Refusal),
    /// A job.
    Job {
        /// The job.
        job: JobId,
        /// What it is and how far.
        summary: JobSummary,
    },
    /// A tenant's jobs in one group.
    Jobs {
        /// The jobs.
        jobs: Vec<(JobId, JobSummary)>,
        /// How many groups there are.
        group_count: u32,
    },
    /// Results of a job.
    Results {
        /// Those present among the items looked at.
        results: Vec<FinishedItem>,
        /// The first item not looked at.
        next: Option<u32>,
    },
    /// A change of configuration was accepted, or changed nothing.
    Applied {
        /// The revision in force.
        revision: u64,
        /// Whether anything changed.
        changed: bool,
    },
    /// A change of configuration has errors.
    Invalid(Vec<ConfigurationError>),
    /// The files in force.
    Configuration {
        /// Their revision; 0 for none.
        revision: u64,
        /// The files.
        bundle: Bundle,
    },
    /// How all nodes are.
    FleetStatus(FleetStatus),
    /// How this node is.
    NodeStatus(NodeStatus),
    /// The models offered, each with its adapters.
    Models(Vec<ModelSummary>),
    /// The decisions for a request.
    Explanation(Explanation),
}

/// A model as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSummary {
    /// Its name.
    pub name: Arc<str>,
    /// Its adapters.
    pub adapters: Vec<Arc<str>>,
}

impl CallerAnswer {
    /// Whether nothing follows this answer.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Piece { .. })
    }

    /// The effect that gives this answer to a caller.
    pub fn to(self, caller: CallerId) -> Effect {
        Effect::Answer { caller, answer: self }
    }
}
