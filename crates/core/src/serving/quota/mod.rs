//! Limits on what a tenant may ask, over all gateways together.
//!
//! Each gateway reports to the job table's leader what it let through, and hears how much each of its tenants has
//! left. Between two reports it goes by that. While plenty is left all gateways draw on it freely; when it grows
//! scarce each takes the part that corresponds to its part of the demand. A gateway that loses the leader goes on
//! with that part of the limit alone, and the leader sets the part aside for as long.
//!
//! | module | owns |
//! |---|---|
//! | [`bucket`] | a token bucket |
//! | [`limiter`] | a gateway's side: whether a request is let through |
//! | [`coordinator`] | the leader's side: what each tenant has left |
//! | [`message`] | what the two tell each other |

pub mod bucket;
pub mod coordinator;
pub mod limiter;
pub mod message;

use crate::time::Millis;

/// How long a gateway that lost the leader goes on with its part of a limit, and how long the leader sets that part
/// aside: longer than a cut or an outage usually lasts.
pub const LEASE: Millis = Millis(20_000);
/// The first reports of all gateways reach a new leader within this time.
pub const LATEST: Millis = Millis(1_000);
