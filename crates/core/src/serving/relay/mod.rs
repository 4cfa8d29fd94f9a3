//! Relaying the metadata store's changes between nodes.
//!
//! Each call to the store is billed, and if every node watched the store, the number of calls would grow with the
//! number of nodes times the number of changes. Most nodes therefore query another node, a relay, which watches the
//! store on their behalf.
//!
//! A relay is not trusted to be up to date. Each answer states the age of the relay's view, and a node whose own view
//! grows too old, for any reason, calls the store itself within the bound.
//!
//! Depends on the records of the storage nodes ([`super::jobs::directory`]). The caller (the gateway crate's `fleet`)
//! performs the calls and provides the clock and the randomness.
//!
//! | module | contents |
//! |---|---|
//! | [`item`] | revisions, and items at a revision |
//! | [`mirror`] | one node's copy of the store, and the changes since a revision |
//! | [`confirmation`] | reads that confirm a node's copy on request |
//! | [`continuity`] | for how long a node's copy was current throughout |
//! | [`message`] | requests to a relay, and the answers |
//! | [`choice`] | which relay a node queries |
//! | [`tiers`] | which storage nodes relay changes, and to which nodes |
//! | `first_view` | how a node that has just started obtains its first view |
//! | [`contents`] | the complete contents of a relay's view, compressed |
//! | [`bounds`] | time bounds within which a node must see changes |
//! | [`outage`] | outages observed by a node, and how to treat records that are missing afterwards |
//! | [`policy`] | where a node obtains the next changes, and the waits between its calls |

pub mod bounds;
pub mod choice;
pub mod confirmation;
pub mod contents;
pub mod continuity;
mod first_view;
pub mod item;
pub mod message;
pub mod mirror;
pub mod outage;
pub mod policy;
pub mod tiers;
