//! What this node knows of the fleet, and how it keeps that up to date.
//!
//! | module | owns |
//! |---|---|
//! | [`fleet_view`] | the configuration in force, the workers, the storing nodes |
//! | [`metadata_view`] | the metadata store's contents as this node knows them, which other nodes may ask for |
//! | [`metadata_watch`] | following the store, itself or through a relay |

pub mod fleet_view;
pub mod metadata_view;
pub mod metadata_watch;
