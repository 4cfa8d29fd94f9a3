//! Limits on what a tenant may ask, over all gateways together.
//!
//! Each gateway reports to the job table's leader what it has admitted, and learns how much each of its tenants has
//! left. Between two reports it goes by that. While at least half is left all gateways draw on it freely; when it grows
//! scarce each takes the part that corresponds to its share of the demand. A gateway that loses the leader goes on
//! with that part of the limit alone, and the leader reserves the part for as long.
//!
//! Relies on the tenants of the configuration ([`super::configuration::tenant`]); when reports are sent and answers
//! come is the driver's.
//!
//! | module | owns |
//! |---|---|
//! | [`bucket`] | a token bucket |
//! | [`fleet_size`] | how many gateways there are, those out of reach included |
//! | [`limiter`] | a gateway's side: whether a request is admitted, when a report is due |
//! | `tenant_level` | what a gateway knows of one tenant's limit |
//! | [`coordinator`] | the leader's side: what each tenant has left |
//! | [`message`] | reports and their answers |

pub mod bucket;
pub mod coordinator;
pub mod fleet_size;
pub mod limiter;
pub mod message;
mod tenant_level;

use crate::time::Millis;

/// How long a gateway that lost the leader goes on with its part of a limit, and how long the leader reserves that
/// part, in milliseconds: tenants of such gateways are served on.
pub const LEASE: Millis = Millis(20_000);
/// The first reports of all gateways reach a new leader within this time, in milliseconds, and each says what was
/// admitted for as long: a new leader knows what was spent before it.
pub const RECENT_WINDOW: Millis = Millis(1_000);
