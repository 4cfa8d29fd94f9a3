//! Stand-ins for the services of the platform, for tests: an engine, the key-value service and the machine list.
//!
//! Each implements the published protocol over HTTP. The engine and the key-value service inject faults, which
//! are set at run time by `POST /fault` with a JSON object; absent fields are reset to their defaults.

pub mod engine;
pub mod http;
pub mod key_value;
pub mod machines;
