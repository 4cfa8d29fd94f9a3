//! Decision logic of gateways and storage nodes, which pass requests and batch items through unchanged.
//!
//! | module | contents |
//! |---|---|
//! | [`configuration`] | routes, services, tenants and limits set by the operator |
//! | [`request`] | the request attributes that decisions depend on |
//! | [`workers`] | worker load, selection and ejection |
//! | [`online`] | the attempts of an online request and the events of its answer |
//! | [`crashes`] | requests that crashed workers |
//! | [`jobs`] | batch jobs: the replicated job table and its members, dispatch of items |
//! | [`leader`] | communication with the job table's leader: leader discovery and load exchanges |
//! | [`quota`] | tenant limits across all gateways |
//! | [`regions`] | the region of each zone, and where data may be stored |
//! | [`relay`] | propagation of metadata store changes between nodes |
//! | [`stream_origins`] | which workers may resume an interrupted stream |
//! | [`stopping`] | the phases of a graceful shutdown |

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
pub mod stream_origins;
pub mod workers;
