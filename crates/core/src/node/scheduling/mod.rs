//! Batch scheduling in capacity left over by online requests.
//!
//! Each engine has one steward, chosen by rendezvous hashing among the present nodes. Nodes notify the
//! steward immediately when an online request starts or ends at its engine; leaders of groups with
//! queued items request batch capacity from it. The steward responds with a limit: the number of batch
//! streams the requesting node may run there for a short time. When online requests arrive, the steward
//! lowers the limits immediately, and the nodes pause excess streams and resume them later.
//!
//! A limit is a lease. Nodes that temporarily disagree about the steward affect only throughput and tail
//! latency, not correctness: results are committed by the partition regardless of which node ran the item.

mod dispatcher;
mod fairness;
mod steward;

pub use dispatcher::{BatchDispatcher, BatchStream, EngineLimit, StreamEnd};
pub use fairness::{JobRank, TenantUsage};
pub use steward::{BatchGrant, BatchRequest, GRANT_LIFETIME, Steward, StewardSettings};
