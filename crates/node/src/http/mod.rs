//! The HTTP interface for callers and operators.
//!
//! A request passes through these modules: [`server`] accepts the connection and applies limits, [`router`]
//! selects the handler by method and path, [`online`], [`batch`] or [`operator`] converts the request to a
//! typed call and the typed answer to a response, and [`answer`] serializes refusals.

mod answer;
mod batch;
mod body;
mod metrics;
mod online;
mod operator;
mod prompt;
mod request;
mod router;
mod server;

pub use router::HttpService;
pub use server::serve;
