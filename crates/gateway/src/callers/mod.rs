//! The caller-facing side of a gateway.
//!
//! | module | owns |
//! |---|---|
//! | [`server`] | the listener: reading and admitting requests, closing connections during shutdown |

pub mod server;
