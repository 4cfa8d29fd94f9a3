//! What a refusal of a tenant's request rested on, other than a limit that is known to be used up.

use crate::time::Millis;

/// Why a request was refused that the tenant's limit may have allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalCause {
    /// This gateway is disconnected from the leader, and its share of the limit is used up.
    Partitioned,
    /// The leader has not answered for the tenant yet, and the initial share is used up.
    NoLevel,
    /// Requests are left over all gateways, but less than one of them is this gateway's part.
    Fraction,
    /// The leader reserves a part of the limit for gateways that it can't reach.
    Reserved,
    /// The leader's level is outdated, so that requests accrued or returned since are not known.
    StaleLevel,
}

impl RefusalCause {
    /// Returns the value of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Partitioned => "partitioned",
            Self::NoLevel => "no_level",
            Self::Fraction => "fraction",
            Self::Reserved => "reserved",
            Self::StaleLevel => "stale_level",
        }
    }
}

/// What a gateway knows when it refuses a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Basis {
    /// Age of the leader's level and the requests that it leaves over all gateways; `None` without a level.
    pub(super) level: Option<(Millis, f64)>,
    /// Age from which the level is no longer used.
    pub(super) lifetime: Millis,
    /// Age from which a level counts as outdated: at least one report was not answered in time.
    pub(super) stale_after: Millis,
    /// Whether the last report was lost.
    pub(super) is_disconnected: bool,
    /// Whether some gateways don't reach the leader.
    pub(super) has_unreachable: bool,
}

impl Basis {
    /// Returns the cause of a refusal; `None` if the limit is used up.
    pub(super) fn cause(self) -> Option<RefusalCause> {
        let Some((age, left)) = self.level else {
            return Some(if self.is_disconnected { RefusalCause::Partitioned } else { RefusalCause::NoLevel });
        };
        if age >= self.lifetime {
            return Some(if self.is_disconnected { RefusalCause::Partitioned } else { RefusalCause::StaleLevel });
        }
        if left >= 1.0 {
            Some(RefusalCause::Fraction)
        } else if age >= self.stale_after {
            Some(RefusalCause::StaleLevel)
        } else {
            self.has_unreachable.then_some(RefusalCause::Reserved)
        }
    }
}
