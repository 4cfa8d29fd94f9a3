//! Membership and failure detection.
//!
//! Implements SWIM (Das, Gupta and Motivala, 2002). In each period a node probes one other node. If the
//! target doesn't respond, the node requests indirect probes from a few others, and suspects the target
//! before it declares it dead. Changes are piggybacked on the probes. A suspected node refutes the
//! suspicion with a higher incarnation. The probe load per node is independent of the number of nodes.
//!
//! Extends the protocol in two ways: nodes exchange their full views on joining and periodically, and
//! periodically contact a seed or a dead node so that the sides of a network partition rejoin after it heals.

mod dissemination;
mod member;
mod message;
mod probing;
mod swim;

pub use member::{Member, MemberStatus};
pub use message::{MembershipMessage, MembershipPayload};
pub use swim::{Membership, MembershipEffect, MembershipSettings};
