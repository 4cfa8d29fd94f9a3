//! This node's view of the fleet and the tasks that keep it up to date.
//!
//! Uses the adapter to call the store and interpret its items, [`crate::peers`] to call relays, and
//! [`stallmoor_core::serving::relay`] for decisions.
//!
//! | module | contents |
//! |---|---|
//! | [`confirmation`] | waiting until the view contains all changes up to a request |
//! | [`crash_reports`] | publishing this machine's record of worker crashes |
//! | [`crash_view`] | the requests and prompt parts that crash workers |
//! | [`fleet_view`] | the active configuration, the workers and the storage nodes |
//! | [`metadata_view`] | this node's mirror of the metadata store, which it serves to other nodes |
//! | `relay_calls` | requests to relays of this version and the previous one |
//! | [`metadata_watch`] | following the store, directly or through a relay |

pub mod confirmation;
pub mod crash_reports;
pub mod crash_view;
pub mod fleet_view;
pub mod metadata_view;
pub mod metadata_watch;
mod relay_calls;
