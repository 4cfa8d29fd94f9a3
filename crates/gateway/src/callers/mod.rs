//! The caller-facing side of a gateway.
//!
//! | module | contents |
//! |---|---|
//! | [`server`] | the listener: reading and admitting requests, closing connections during shutdown |

pub mod server;
