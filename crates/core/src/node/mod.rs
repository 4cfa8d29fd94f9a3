//! The decisions of `stallmoor node`: the state machines of each matter, and one node composed of them.
//!
//! [`Node::handle`] takes an event and the time and returns effects. The running node feeds it from
//! sockets and clocks; the simulation feeds it from a seeded queue. A driver carries out effects in
//! order, and must make every persist effect durable before any later effect of the same batch.
//!
//! | module | owns |
//! |---|---|
//! | [`configuration`] | the operators' files: parsing, checking, and which revision is in force |
//! | [`membership`] | which nodes are alive, after SWIM |
//! | [`partition`] | the state each group replicates: jobs, items, results, marks, sessions |
//! | [`routing`] | engines, their load, and which one serves a request |
//! | [`scheduling`] | batch credits and the dispatch of batch items |
//! | [`online`] | the life of one online request, from admission to its last piece |
//! | [`control`] | founding of replica groups, the control lease, placement of models |
//!
//! The composition:
//!
//! | module | owns |
//! |---|---|
//! | `callers` | what callers and operators ask, and the answers |
//! | `online_flow` | online requests: admission, answers, refusals |
//! | `online_attempts` | their attempts at engines, and what follows a failure |
//! | `online_records` | marks of not-repeatable requests, and session records |
//! | `upload` | taking in a batch job |
//! | `batch_flow` | running batch items within granted limits |
//! | `batch_demand` | asking stewards for room, and the limits they grant |
//! | `groups` | the replicas that this node hosts |
//! | `group_requests` | requests to those replicas, and their answers |
//! | `group_repair` | replacing lost members of the groups this node leads |
//! | `group_client` | requests to groups, wherever they are |
//! | `configuration_flow` | accepting, spreading and taking configuration |
//! | `engines_flow` | polling engines and the machine list, spreading what leaves |
//! | `control_flow` | the control lease and the orders given under it |
//! | `discovery_flow` | finding other nodes when no seed answers |
//! | `founding_flow` | founding and finding groups |
//! | `key_value_flow` | calls to the key-value service, within its rate limit |
//! | `steward_flow` | dividing an engine between batch holders |
//! | `status_flow` | the status of this node and of the fleet |
//! | `stopping` | the planned stop |

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
