//! The replicated log of one group.
//!
//! The rules are those of Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014), with pre-vote, check-quorum, leader transfer and membership changes of one
//! member at a time (Ongaro's thesis, chapters 4 and 9). Three points are ours:
//!
//! * A replica is named by its disk. A blank disk is a new name, so a replica that lost its log can
//!   never vote again as the one it was.
//! * A proposal is acknowledged once every replica that answers has it on disk, and falls back to a
//!   majority after a short wait. One disk lost right after an acknowledgement loses nothing.
//! * Writes to disk are effects. A driver carries out all [`Persist`](ReplicaEffect::Persist) effects
//!   before any later effect, so that nothing is said which the disk doesn't hold.

mod compaction;
mod election;
mod following;
mod leading;
mod log;
mod membership;
mod message;
mod progress;
mod repair;
mod replica;
mod role;
mod status;
mod step;

pub use log::{Entry, EntryPayload, HardState, LogIndex, LogWrite, PersistedReplica, ReplicatedLog, Snapshot, Term};
pub use membership::{GroupMembership, MembershipChange};
pub use message::{MessageKind, ReplicationMessage};
pub use progress::Progress;
pub(crate) use repair::rank_candidates;
pub use repair::{REPAIR_DELAY, RepairInput, RepairStep, ReplicaHealth, StoreCandidate, plan_repair};
pub use replica::{ProposalError, Replica, ReplicaEffect, ReplicaSettings};
pub use role::Role;
