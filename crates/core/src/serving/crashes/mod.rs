//! Tracking and quarantine of requests that crash workers.
//!
//! Without quarantine, retries and repeated calls would send such a request from worker to worker, and each crash fails
//! the other requests of that worker. The crash history of a request is therefore shared between nodes and outlives the
//! attempt, the gateway and the leader that observed it.
//!
//! | module | contents |
//! |---|---|
//! | [`digest`] | [`RequestKeys`]: identification of a request that is sent again |
//! | `coincidence` | whether unrelated causes explain the crashes |
//! | `evidence` | the crash counts and thresholds that decide on a quarantine |
//! | `incomplete_run` | which runs count if their worker crashed |
//! | `item_admission` | whether a batch item may run |
//! | [`ledger`] | [`CrashLedger`]: the crash history and quarantine of each request |
//! | [`parts`] | [`PartLedger`]: the crash history and quarantine of each prompt part |
//! | `part_history` | the crash history of one prompt part |
//! | `recent` | the requests that completed recently, and the parts that workers survived |
//! | [`report`] | the crash reports that nodes exchange |
//! | `suspect` | the crash history of one request |
//! | `table` | the tracked requests, and which of them are evicted |
//! | `trials` | when a quarantined batch item runs again |
//! | `trial_lanes` | how many quarantined batch items are tried at a time |
//! | `timeline` | the worker crashes by time, whichever request they affected |

mod coincidence;
pub mod digest;
mod evidence;
mod incomplete_run;
mod item_admission;
pub mod ledger;
mod part_history;
pub mod parts;
mod recent;
pub mod report;
mod suspect;
mod table;
mod timeline;
mod trial_lanes;
mod trials;

pub use digest::{PartDigest, RequestContent, RequestDigest, RequestKeys};
pub use evidence::CRASH_THRESHOLD;
pub use incomplete_run::{IncompleteEnd, has_survived};
pub use ledger::{CrashCount, CrashLedger, LedgerSize, Quarantine};
pub use parts::{PartCounts, PartLedger, PartQuarantine};
pub use report::{CrashReport, CrashedRun};
pub use trials::{ItemAdmission, ItemWait, WaitReason};
