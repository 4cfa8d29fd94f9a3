//! This node's view of the workers, and worker selection.
//!
//! The view is built from worker records in the metadata store, the outcomes of local attempts, and the load reports of
//! other nodes.
//!
//! | module | contents |
//! |---|---|
//! | [`table`] | the set of known workers, and which of them accept requests |
//! | `worker` | the state kept for one worker |
//! | `activity` | the set of workers with current load, reports or ejections |
//! | `loads` | the number of requests at each worker |
//! | `own_view` | load estimates while no sums of other nodes arrive |
//! | `health` | outlier ejection, relative latency, and handling of attempt outcomes |
//! | [`choice`] | worker selection for requests and batch items |
//! | [`cold_start`] | workers that have just started, and this node's permits to send them requests |
//! | `rate_share` | this node's share of the rate of cold workers while there is no leader |
//! | [`permit_grants`] | the leader's side of cold start permits |
//! | [`batch_room`] | counts of the workers that a batch item may use, by whether they can take one |
//! | [`unavailable`] | counts of the workers that a request cannot be sent to, by reason |
//! | `evidence` | decayed counts of served and failed requests |
//! | [`suspicion`] | verdicts on workers that fail requests |
//! | `shared_outcomes` | counts of served and failed requests of other nodes |
//! | `exclusion` | bounded exclusion of suspected workers |
//! | [`trials`] | trial requests to suspected workers |
//! | `held_slots` | slots that failed requests keep in the load estimate |
//! | `evacuation` | zones that the operator has excluded from selection |
//! | `cost` | the estimated cost of sending a request to a worker |
//! | [`load_report`] | the load reports that nodes exchange, and their interval |
//! | [`outcomes`] | recording and exchange of the evidence on failing workers |
//! | [`outcome_report`] | the reports on failed and served requests that nodes exchange |
//! | [`load_in_transit`] | requests that other nodes have placed since their last report |
//! | [`prefix_cache`] | the prompt prefixes that a worker is estimated to have cached |
//! | [`service_times`] | response times of the workers of a service |
//! | [`versions`] | the software versions of the known workers |
//! | [`connection_limit`] | the maximum number of connections from one node to a worker |

mod activity;
pub mod batch_room;
pub mod choice;
pub mod cold_start;
pub mod connection_limit;
mod cost;
mod evacuation;
mod evidence;
mod exclusion;
mod health;
mod held_slots;
pub mod load_in_transit;
pub mod load_report;
mod loads;
pub mod outcome_report;
pub mod outcomes;
mod own_view;
pub mod permit_grants;
pub mod prefix_cache;
mod rate_share;
pub mod service_times;
mod shared_outcomes;
pub mod suspicion;
pub mod table;
pub mod trials;
pub mod unavailable;
pub mod versions;
pub mod worker;

pub use choice::{Choice, WorkerQuery};
pub use evidence::Counts;
pub use load_report::{LoadReport, WorkerCount, WorkerReport};
pub use table::{WorkerChange, WorkerTable};
pub use worker::{Availability, Slowdown, SoftwareVersion, WorkerId, WorkerIncarnation, WorkerLoad, WorkerRecord};
