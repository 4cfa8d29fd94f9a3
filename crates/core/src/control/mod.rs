//! Founding, finding and repairing replica groups.

mod directory;
mod founding;
mod repair;

pub use directory::{DirectoryEntry, GroupDirectory};
pub use founding::{GROUPS_KEY, GroupsRecord, StoreCandidate, plan_groups};
pub use repair::{REPAIR_DELAY, RepairInput, RepairStep, ReplicaHealth, plan_repair};
