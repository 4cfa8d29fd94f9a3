//! Rate limits of tenants over all gateways together.
//!
//! Each gateway reports the requests that it has admitted to the job table's leader and receives the level of each of
//! its tenants, which it uses until the next report. While at least half of the capacity is left, all gateways draw
//! from it freely; below that, each gateway uses the part that corresponds to its share of the demand. A gateway that
//! is disconnected from the leader continues with that share of the limit for the time of a [`LEASE`], and the leader
//! reserves the share for the same time.
//!
//! Depends on the tenants of the configuration ([`super::configuration::tenant`]). The caller sends the reports and
//! delivers the answers.
//!
//! | module | contents |
//! |---|---|
//! | [`bucket`] | token bucket |
//! | [`fleet_size`] | number of gateways, including unreachable ones |
//! | [`limiter`] | a gateway's side: admission of requests, schedule of reports |
//! | `tenant_level` | a gateway's state for one tenant |
//! | [`coordinator`] | the leader's side: level of each tenant |
//! | [`message`] | reports and their answers |
//! | [`refusal_cause`] | what a refusal rested on |

pub mod bucket;
pub mod coordinator;
pub mod fleet_size;
pub mod limiter;
pub mod message;
pub mod refusal_cause;
mod tenant_level;

use crate::time::Millis;

/// Time for which a gateway that is disconnected from the leader continues with its share of a limit, and for which the
/// leader reserves that share. Keeps serving the tenants of such gateways.
pub const LEASE: Millis = Millis(20_000);
/// Time within which all gateways first report to a new leader. Each report includes the requests admitted within
/// this window, so that a new leader accounts for what was spent before it.
pub const RECENT_WINDOW: Millis = Millis(1_000);
