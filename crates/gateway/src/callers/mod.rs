//! The caller-facing side of a gateway.
//!
//! | module | responsibility |
//! |---|---|
//! | [`server`] | the listener: reading and admitting requests, closing connections during shutdown |

pub mod server;
