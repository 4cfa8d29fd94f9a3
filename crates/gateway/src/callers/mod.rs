//! The callers' side of a gateway.
//!
//! | module | owns |
//! |---|---|
//! | [`server`] | the listener: reading a request, admitting it, closing connections at a planned stop |

pub mod server;
