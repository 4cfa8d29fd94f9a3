//! When batch runs and when it steps aside.
//!
//! Each engine has one steward, the node that rendezvous hashing gives among those present. Nodes
//! report to the steward at once when an online request starts or ends at its engine; leaders of groups with
//! queued items ask it for room. The steward answers with a limit: how many batch streams the asker
//! may have there for the next moment. When online requests arrive it lowers the limits at once, and
//! the holders pause streams above them, to resume later from where they were.
//!
//! A limit is a lease. Stewards that disagree for a moment cost throughput or a little tail, never
//! correctness: results are committed by the partition, whoever ran the item.

mod dispatcher;
mod fairness;
mod steward;

pub use dispatcher::{BatchDispatcher, BatchStream, EngineLimit, StreamEnd};
pub use fairness::{JobRank, TenantUsage};
pub use steward::{BatchGrant, BatchRequest, GRANT_LIFETIME, Steward, StewardSettings};
