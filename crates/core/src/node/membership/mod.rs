//! Which nodes are alive.
//!
//! The rules are those of SWIM (Das, Gupta and Motivala, 2002): each node probes one other node a
//! period, asks a few more to probe it when it doesn't answer, suspects it before it calls it dead,
//! and spreads what it learned on the probes themselves. A node refutes its own suspicion by a higher
//! incarnation. The cost for a node is constant whatever the number of nodes.
//!
//! Added: a full exchange when a node joins and now and then after, and a probe of a dead or seed
//! node now and then, so that two halves of a cut find each other again.

mod dissemination;
mod member;
mod message;
mod probing;
mod swim;

pub use member::{Member, MemberStatus};
pub use message::{MembershipMessage, MembershipPayload};
pub use swim::{Membership, MembershipEffect, MembershipSettings};
