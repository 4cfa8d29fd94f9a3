//! Stand-ins for what the platform gives, for tests and trials: an engine, the key-value service and
//! the machine list.
//!
//! Each speaks the published protocol over HTTP and has faults that are switched on while it runs, by
//! `POST /fault` with a JSON object of the fields to change.

pub mod engine;
pub mod http;
pub mod key_value;
pub mod machines;
