//! Founding and finding replica groups; the control lease, and the placement of models.

mod directory;
mod founding;
mod lease;
mod placement;

pub use directory::{DirectoryEntry, GroupDirectory};
pub use founding::{GROUPS_KEY, GroupsRecord, REPLICAS_PER_GROUP, plan_groups};
pub use lease::{ControlLease, LEASE_DURATION, LEASE_KEY, LEASE_MARGIN, LeaseAnswer, LeaseRecord, LeaseStep};
pub use placement::{EnginePlacement, ModelOrder, plan_placement};
