//! What a node exchanges with the leader of the job table, which every gateway depends on besides the metadata store.
//!
//! | module | owns |
//! |---|---|
//! | [`client`] | finding the leader, and asking it |
//! | [`load_exchange`] | reporting this gateway's load, and learning that of all others |
//! | [`rate_limits`] | admitting requests within tenants' limits, and reporting what was admitted |
//!
//! Each of them has a fallback for the time without a leader: loads age out, and a gateway goes on with its part of
//! a tenant's limit.

pub mod client;
pub mod load_exchange;
pub mod rate_limits;
