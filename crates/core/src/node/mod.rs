//! The deterministic core of `stallmoor node`: one state machine per concern, composed into a [`Node`].
//!
//! [`Node::handle`] takes an event and the current time and returns effects. In production, events come
//! from sockets and clocks; in the simulation, from a seeded queue. The caller executes effects in order
//! and must make every persist effect durable before executing any later effect of the same batch.
//!
//! | module | contents |
//! |---|---|
//! | [`configuration`] | configuration files: parsing, validation, and the active revision |
//! | [`membership`] | SWIM-based failure detection and the set of live nodes |
//! | [`partition`] | the replicated state of each group: jobs, items, results, marks, sessions |
//! | [`routing`] | engines, their load, and engine selection |
//! | [`scheduling`] | batch credits and the dispatch of batch items |
//! | [`online`] | the lifecycle of an online request, from admission to the last chunk of the answer |
//! | [`control`] | bootstrap of replica groups, the control lease, placement of models |
//!
//! These modules implement [`Node`] on top of the state machines:
//!
//! | module | contents |
//! |---|---|
//! | `callers` | simple queries of callers and operators |
//! | `online_flow` | online requests: admission, completion, refusals |
//! | `online_attempts` | attempts of online requests on engines, and failure handling |
//! | `online_records` | marks of non-repeatable requests, and session records |
//! | `upload` | submission of batch jobs |
//! | `batch_flow` | running batch items within granted limits |
//! | `batch_demand` | requesting batch capacity from stewards, and the limits they grant |
//! | `groups` | the replicas hosted by this node |
//! | `group_requests` | requests to those replicas, and their responses |
//! | `group_repair` | replacing lost members of groups led by this node |
//! | `group_client` | requests to local and remote groups |
//! | `configuration_flow` | accepting, distributing and applying configuration |
//! | `engines_flow` | polling engines and the machine list, disseminating departures |
//! | `control_flow` | the control lease and the orders issued under it |
//! | `discovery_flow` | discovering other nodes when no seed responds |
//! | `founding_flow` | bootstrapping and locating groups |
//! | `key_value_flow` | rate-limited calls to the key-value service |
//! | `steward_flow` | dividing the batch capacity of an engine among nodes |
//! | `status_flow` | the status of this node and of the fleet |
//! | `stopping` | graceful shutdown |

pub mod configuration;
pub mod control;
pub mod membership;
pub mod online;
pub mod partition;
pub mod routing;
pub mod scheduling;

mod batch_demand;
mod batch_flow;
mod callers;
mod configuration_flow;
mod control_flow;
mod discovery_flow;
mod effect;
mod engines_flow;
mod event;
mod founding_flow;
mod group_client;
mod group_repair;
mod group_requests;
mod groups;
mod key_value_flow;
mod machine;
mod online_attempts;
mod online_flow;
mod online_records;
mod settings;
mod status;
mod status_flow;
mod steward_flow;
mod stopping;
mod upload;

pub use effect::{Effect, EngineOrder, EngineRequest, KeyValueOperation, RequestClass};
pub use event::{
    BatchCall, CallerAnswer, CallerCall, Clock, Event, JobSubmission, KeyValueCall, KeyValueOutcome, MachineReport,
    ModelSummary, OperatorCall, OrderOutcome, StreamEvent,
};
pub use machine::{Node, PersistedNode};
pub use settings::NodeSettings;
pub use status::{FleetStatus, GroupStatus, NodeCounters, NodeStatus};
