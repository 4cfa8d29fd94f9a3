//! Requests to relays of this version and the previous one.
//!
//! Owns the links to relays and the set of those that support only the legacy request. A relay of the previous version
//! closes the connection on a request that it can't decode; it is then sent the legacy request for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::relay::message::{ChangesAnswer, ChangesRequest};
use stallmoor_core::time::{Millis, Timestamp};

use crate::clock::NodeClock;
use crate::peers::peer_link::{FollowAnswer, FollowRequest, PeerCallError, PeerLinks};

/// Time for which a relay that did not answer is sent the legacy request, as it may still run the previous version.
const LEGACY_REQUEST_PERIOD: Millis = Millis(60_000);

/// Client for this node's requests to relays.
pub(super) struct RelayCalls {
    links: PeerLinks,
    clock: NodeClock,
    /// Relays that are sent the legacy request, and the time until which they are.
    legacy_relays: Mutex<BTreeMap<NodeId, Timestamp>>,
}

impl RelayCalls {
    pub(super) fn new(id: NodeId, clock: NodeClock) -> Self {
        Self { links: PeerLinks::new(id), clock, legacy_relays: Mutex::default() }
    }

    /// Requests changes from a relay.
    ///
    /// # Errors
    ///
    /// The reason for the missing answer, as a text for the log.
    pub(super) async fn send_request(
        &self,
        relay: NodeId,
        address: SocketAddr,
        request: ChangesRequest,
        timeout: Duration,
    ) -> Result<ChangesAnswer, String> {
        let now = self.clock.now();
        if self.legacy_relays().get(&relay).is_some_and(|until| now < *until) {
            return self.links.send_request(address, request, timeout).await.map_err(describe);
        }
        match self.links.send_request(address, FollowRequest(request), timeout).await {
            Ok(FollowAnswer::Changes(answer)) => Ok(answer),
            Ok(FollowAnswer::Contents(contents)) => contents.unpack().map_err(|error| error.to_string()),
            Err(error) => {
                if error == PeerCallError::NoAnswer {
                    self.legacy_relays().insert(relay, now + LEGACY_REQUEST_PERIOD);
                }
                Err(describe(error))
            }
        }
    }
}

impl RelayCalls {
    fn legacy_relays(&self) -> MutexGuard<'_, BTreeMap<NodeId, Timestamp>> {
        self.legacy_relays.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn describe(error: PeerCallError) -> String {
    match error {
        PeerCallError::Refused(refusal) => format!("{refusal:?}"),
        error => format!("{error:?}"),
    }
}
