//! The replicated log of one group.
//!
//! Implements Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
//! 2014) with pre-vote, check-quorum, leadership transfer and single-server membership changes
//! (Ongaro's thesis, chapters 4 and 9). It differs from the papers in three points:
//!
//! * A replica's identity is stored on its disk. A blank disk gets a new identity, so a replica that
//!   lost its log can never vote under its previous one.
//! * A proposal is acknowledged once every responsive replica has persisted it, or after a short
//!   timeout once a majority has. Losing one disk right after an acknowledgment loses no data.
//! * Disk writes are effects. The caller completes each [`Persist`](ReplicaEffect::Persist) effect
//!   before any later effect, so that no message refers to state that is not yet durable.

mod commit_watch;
mod compaction;
mod durability;
mod election;
mod following;
mod leader_loss;
mod leading;
mod learner_election;
mod log;
mod membership;
mod message;
mod progress;
mod repair;
mod replica;
mod role;
mod stand_down;
mod status;
mod step;
mod withdrawal;

pub use commit_watch::CommitWatch;
pub use leader_loss::{CampaignReason, CampaignStart};
pub use log::{Entry, EntryPayload, HardState, LogIndex, LogWrite, PersistedReplica, ReplicatedLog, Snapshot, Term};
pub use membership::{GroupMembership, MembershipChange};
pub use message::{MessageKind, ReplicationMessage};
pub use progress::Progress;
pub(crate) use repair::rank_candidates;
pub use repair::{REPAIR_DELAY, RepairInput, RepairStep, ReplicaHealth, StoreCandidate, plan_repair};
pub use replica::{ProposalError, Replica, ReplicaEffect, ReplicaSettings};
pub use role::Role;
pub use stand_down::StandDownReason;
