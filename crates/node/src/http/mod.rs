//! The interface for callers and operators over HTTP.
//!
//! The way of a request, top to bottom: [`server`] accepts the connection and bounds it, [`router`]
//! finds the handler by method and path, [`online`], [`batch`] or [`operator`] turns the request into a
//! typed call and the typed answer into a response, and [`answer`] writes refusals.

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
