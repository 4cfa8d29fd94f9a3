//! Bootstrap and location of replica groups, the control lease, and model placement.

mod directory;
mod founding;
mod lease;
mod placement;

pub use directory::{DirectoryEntry, GroupDirectory};
pub use founding::{GROUPS_KEY, GroupsRecord, REPLICAS_PER_GROUP, plan_groups};
pub use lease::{ControlLease, LEASE_DURATION, LEASE_KEY, LEASE_MARGIN, LeaseAnswer, LeaseRecord, LeaseStep};
pub use placement::{EnginePlacement, ModelOrder, plan_placement};
