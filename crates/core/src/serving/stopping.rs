//! The times of a planned stop.

use crate::time::Millis;

/// For how long a leaving gateway still takes new connections, in milliseconds: callers that haven't learned yet that
/// it is not ready are served.
const LEAVING: Millis = Millis(2_600);
/// What is left of the grace when the process ends at the latest, in milliseconds: the process ends by itself before
/// the platform kills it.
const GRACE_MARGIN: Millis = Millis(400);
/// How long a storing node hands its leadership over before it stops all the same, in milliseconds: a caught-up voter
/// leads without an election.
pub const LEADERSHIP_TRANSFER_TIMEOUT: Millis = Millis(1_500);

/// The times of a gateway's planned stop, from its beginning on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayStop {
    /// So long the gateway says that it is not ready, and takes new connections. Then each connection closes after the
    /// request that it carries.
    pub drain_period: Millis,
    /// After so long the process ends, whatever is open.
    pub ends_after: Millis,
}

impl GatewayStop {
    /// The times of a stop that may take `grace`. At most half of what the margin leaves goes to the first phase.
    pub fn within(grace: Millis) -> Self {
        let ends_after = Millis(grace.0.saturating_sub(GRACE_MARGIN.0));
        Self { drain_period: LEAVING.min(Millis(ends_after.0 / 2)), ends_after }
    }
}
