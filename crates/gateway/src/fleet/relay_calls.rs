//! Calls of relays, of this version and the one before.
//!
//! Owns the links to relays, and which of them know only the older question. A relay of the version before closes the
//! connection on a question that it can't read; it is then asked the older one for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::relay::message::{ChangesAnswer, ChangesRequest};
use stallmoor_core::time::{Millis, Timestamp};

use crate::clock::NodeClock;
use crate::peers::peer_link::{FollowAnswer, FollowRequest, PeerCallError, PeerLinks};

/// A relay that gave no answer is asked the older question for this long, in milliseconds: it may be of the version
/// before, and will be replaced.
const OLDER_QUESTION_FOR: Millis = Millis(60_000);

/// The calls of one node.
pub(super) struct RelayCalls {
    links: PeerLinks,
    clock: NodeClock,
    /// Relays that are asked the older question, and until when.
    older: Mutex<BTreeMap<NodeId, Timestamp>>,
}

impl RelayCalls {
    pub(super) fn new(id: NodeId, clock: NodeClock) -> Self {
        Self { links: PeerLinks::new(id), clock, older: Mutex::default() }
    }

    /// Asks a relay for changes.
    ///
    /// # Errors
    ///
    /// Why there is no answer, for the log.
    pub(super) async fn send_request(
        &self,
        relay: NodeId,
        address: SocketAddr,
        request: ChangesRequest,
        within: Duration,
    ) -> Result<ChangesAnswer, String> {
        let now = self.clock.now();
        if self.older().get(&relay).is_some_and(|until| now < *until) {
            return self.links.send_request(address, request, within).await.map_err(describe);
        }
        match self.links.send_request(address, FollowRequest(request), within).await {
            Ok(FollowAnswer::Changes(answer)) => Ok(answer),
            Ok(FollowAnswer::Contents(contents)) => contents.unpack().map_err(|error| error.to_string()),
            Err(failure) => {
                if failure == PeerCallError::NoAnswer {
                    self.older().insert(relay, now + OLDER_QUESTION_FOR);
                }
                Err(describe(failure))
            }
        }
    }
}

impl RelayCalls {
    fn older(&self) -> MutexGuard<'_, BTreeMap<NodeId, Timestamp>> {
        self.older.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn describe(failure: PeerCallError) -> String {
    match failure {
        PeerCallError::Refused(refusal) => format!("{refusal:?}"),
        failure => format!("{failure:?}"),
    }
}
