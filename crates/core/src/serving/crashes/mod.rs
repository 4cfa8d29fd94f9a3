//! Requests under which workers died.
//!
//! A request that crashes whichever worker runs it would be sent from worker to worker by retries, and by callers that send
//! it again. Each worker that dies takes its other requests with it, so what is known of such a request must outlast the
//! one try, the gateway and the leader that met it.
//!
//! | module | owns |
//! |---|---|
//! | [`digest`] | [`RequestKeys`]: which requests are the same request, sent again |
//! | `evidence` | how strongly crashes speak against a request |
//! | [`ledger`] | [`CrashLedger`]: which requests are quarantined, and for how long |
//! | `recent` | which requests ran to their end a moment ago |
//! | [`report`] | what nodes tell each other |

pub mod digest;
mod evidence;
pub mod ledger;
mod recent;
pub mod report;

pub use digest::{RequestContent, RequestDigest, RequestKeys};
pub use evidence::MOST_CRASHES;
pub use ledger::{CrashCount, CrashLedger, Quarantine};
pub use report::CrashReport;
