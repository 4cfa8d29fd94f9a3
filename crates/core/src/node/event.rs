//! Events that the I/O layer passes to a node, and the calls and answers of its callers.

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

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Monotonic time, used for all local decisions.
    pub now: Timestamp,
    /// Wall-clock time, used for caller deadlines and stored records. It may jump.
    pub wall_time: UnixMillis,
}

/// An input to the node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer tick.
    Tick,
    /// A message from another node.
    Peer(PeerMessage),
    /// The result of a call to the key-value service.
    KeyValue {
        /// The call that finished.
        call: KeyValueCall,
        /// The result of the call.
        outcome: KeyValueOutcome,
    },
    /// The platform's current list of machines.
    Machines(Vec<MachineReport>),
    /// The result of polling an engine.
    EngineLoad {
        /// The engine that was polled.
        engine: EngineName,
        /// Its load, or `None` if it did not answer.
        report: Option<LoadReport>,
        /// Its cache events since the last poll, if any were returned.
        cache: Option<CacheEventBatch>,
    },
    /// The result of an order to an engine.
    Ordered {
        /// The engine that received the order.
        engine: EngineName,
        /// The result of the order.
        outcome: OrderOutcome,
    },
    /// An event on a response stream from an engine.
    Stream {
        /// The attempt that the stream belongs to.
        attempt: AttemptId,
        /// The stream event.
        event: StreamEvent,
    },
    /// A call from a caller or operator.
    Call {
        /// The caller's connection.
        caller: CallerId,
        /// The requested operation.
        call: CallerCall,
    },
    /// A caller disconnected.
    CallerDisconnected(CallerId),
    /// Begin a graceful shutdown.
    Stop,
}

/// The result of an order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine executed the order.
    Done {
        /// The models that the engine has loaded now, each as `model@version`.
        loaded: Vec<String>,
    },
    /// The engine rejected the order because it has seen a later epoch.
    Fenced,
    /// The engine did not answer; the order may have been executed.
    NoAnswer,
}

/// Identifies a call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyValueCall(pub u64);

/// The result of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueOutcome {
    /// The value and its version.
    Value {
        /// The key's version, which increases with each write.
        version: u64,
        /// The stored value.
        value: Arc<str>,
    },
    /// The key does not exist.
    NotFound,
    /// The write succeeded.
    Written,
    /// The write was rejected because the stored version differs from the expected one.
    VersionMismatch,
    /// The service did not answer or returned an error. A write may have taken effect.
    NoAnswer,
}

/// An entry of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineReport {
    /// Name of the engine that runs on the machine.
    pub engine: EngineName,
    /// Incremented each time the machine starts.
    pub incarnation: u64,
    /// Whether the platform is removing the machine.
    pub leaving: bool,
}

/// An event on a response stream from an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Generated tokens.
    Chunk {
        /// The attempt ID reported by the engine.
        attempt: AttemptId,
        /// Index of the first token in the response.
        first: u32,
        /// Number of tokens.
        tokens: u32,
        /// Text of the tokens.
        text: String,
    },
    /// The engine completed the response.
    End {
        /// The attempt ID reported by the engine.
        attempt: AttemptId,
        /// Number of tokens in the complete response.
        length: u32,
    },
    /// The request was not sent because no connection could be established.
    NotSent,
    /// The engine declined the request before running it, for a reason unrelated to its content.
    Refused {
        /// Whether it declined because it is shutting down.
        leaving: bool,
    },
    /// The engine rejected the request's content before running it.
    Rejected {
        /// The engine's error message.
        detail: String,
    },
    /// The stream failed after the request was sent.
    Broken {
        /// Description of the failure.
        detail: String,
    },
}

/// A call from a caller or operator.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// An online generation request.
    Online(OnlineCall),
    /// An operation on batch jobs.
    Batch(BatchCall),
    /// An administrative operation.
    Operator(OperatorCall),
}

/// A batch job as submitted by a caller.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// The submitting tenant.
    pub tenant: Arc<str>,
    /// The idempotency key; generated at random if absent.
    pub key: Option<Arc<str>>,
    /// The model to run.
    pub model: Arc<str>,
    /// The adapter to apply, if any.
    pub adapter: Option<Arc<str>>,
    /// The items to run, in order.
    pub items: Vec<NewItem>,
    /// Time until the job's deadline.
    pub within: Millis,
    /// Maximum number of tokens per item; `None` uses the service's limit.
    pub max_tokens: Option<u32>,
    /// Whether to accept the job once it is uploaded.
    pub accept: bool,
}

/// An operation on batch jobs.
#[derive(Clone, Debug)]
pub enum BatchCall {
    /// Upload a job and optionally accept it.
    Submit(JobSubmission),
    /// Accept a job that was already uploaded.
    Accept(JobId),
    /// List a tenant's jobs in one group; groups are numbered from 0.
    List {
        /// The tenant whose jobs are listed.
        tenant: Arc<str>,
        /// The group to query.
        group: GroupId,
        /// Maximum number of jobs to return.
        limit: u32,
    },
    /// Read a job's status.
    Status(JobId),
    /// Read a job's results, starting at an item.
    Results {
        /// The job to read.
        job: JobId,
        /// Index of the first item to read.
        first: u32,
        /// Maximum number of items to examine.
        limit: u32,
    },
    /// Cancel a job.
    Cancel(JobId),
}

/// An administrative operation.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Apply a new configuration.
    Apply {
        /// Identifies the change.
        id: ApplyId,
        /// The configuration files.
        bundle: Bundle,
        /// The revision that the change is based on, if the operator requires a match.
        expected_revision: Option<u64>,
    },
    /// Read the active configuration files.
    ReadConfiguration,
    /// Read the status of all nodes.
    FleetStatus,
    /// Read the status of this node.
    NodeStatus,
    /// List the available models.
    Models,
    /// Read the routing decisions recorded for a request.
    Explain(Arc<str>),
}

/// An answer to a caller or operator.
#[derive(Clone, Debug)]
pub enum CallerAnswer {
    /// A chunk of an online response.
    Chunk {
        /// Index of its first token in the response.
        first: u32,
        /// Number of tokens.
        tokens: u32,
        /// Text of the tokens.
        text: String,
    },
    /// The online response is complete.
    End {
        /// Number of tokens in the complete response.
        tokens: u32,
        /// The engine that completed the response.
        engine: EngineName,
    },
    /// An error. If chunks were already sent, the response ends incomplete.
    Refused(Refusal),
    /// The status of a job.
    Job {
        /// ID of the job.
        job: JobId,
        /// Its specification and progress.
        summary: JobSummary,
    },
    /// The jobs of a tenant in one group.
    Jobs {
        /// The jobs found, up to the requested limit.
        jobs: Vec<(JobId, JobSummary)>,
        /// Total number of replica groups.
        group_count: u32,
    },
    /// A page of a job's results.
    Results {
        /// The results found among the examined items.
        results: Vec<FinishedItem>,
        /// Index of the first item not examined; `None` at the end of the job.
        next: Option<u32>,
    },
    /// A configuration change was accepted or had no effect.
    Applied {
        /// The active revision.
        revision: u64,
        /// Whether the configuration changed.
        changed: bool,
    },
    /// A configuration change was rejected as invalid.
    Invalid(Vec<ConfigurationError>),
    /// The active configuration files.
    Configuration {
        /// Their revision; 0 if there is no configuration.
        revision: u64,
        /// The configuration files.
        bundle: Bundle,
    },
    /// The status of all nodes.
    FleetStatus(FleetStatus),
    /// The status of this node.
    NodeStatus(NodeStatus),
    /// The available models, each with its adapters.
    Models(Vec<ModelSummary>),
    /// The routing decisions recorded for a request.
    Explanation(Explanation),
}

/// A model as listed to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSummary {
    /// Name of the model.
    pub name: Arc<str>,
    /// Names of the adapters available for the model.
    pub adapters: Vec<Arc<str>>,
}

impl CallerAnswer {
    /// Returns whether this is the last answer to the call.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Chunk { .. })
    }

    /// Returns the effect that sends this answer to a caller.
    pub fn to(self, caller: CallerId) -> Effect {
        Effect::Answer { caller, answer: self }
    }
}
