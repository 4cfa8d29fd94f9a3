//! Decisions of gateways and storing nodes, whose requests and batch items pass through unchanged.
//!
//! | module | owns |
//! |---|---|
//! | [`configuration`] | routes, services, tenants and limits as the operator wrote them |
//! | [`request`] | what the decisions need to know of a request |
//! | [`workers`] | the workers: their load, which of them serves a request or an item, which are ejected |
//! | [`online`] | the attempts of an online request, and the events of its answer |
//! | [`crashes`] | requests under which workers died |
//! | [`jobs`] | batch jobs: their replicated table, the dispatch of items, who holds the table |
//! | [`leader`] | a gateway's dealings with the job table's leader: who is asked, how often loads are exchanged |
//! | [`quota`] | tenants' limits over all gateways |
//! | [`regions`] | which zone lies in which region, and where data may be |
//! | [`relay`] | the metadata store's changes, passed on between nodes |
//! | [`stopping`] | the times of a planned stop |

pub mod configuration;
pub mod crashes;
pub mod jobs;
pub mod leader;
pub mod online;
pub mod quota;
pub mod regions;
pub mod relay;
pub mod request;
pub mod stopping;
pub mod workers;
