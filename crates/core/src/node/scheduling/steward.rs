//! The steward of an engine, which divides the capacity not used by online requests among nodes.

use std::collections::BTreeMap;

use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Validity of a granted limit.
pub const GRANT_LIFETIME: Millis = Millis(1_500);
/// Time after which a node that has sent no notice is assumed to have no online requests at the engine.
const ONLINE_NOTICE_LIFETIME: Millis = Millis(5_000);

/// Inputs for dividing an engine's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StewardSettings {
    /// Number of sequences the engine decodes concurrently.
    pub slots: u32,
    /// Fraction of the slots reserved for online requests.
    pub online_headroom: f64,
}

/// A group leader's request for batch capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchRequest {
    /// Total number of streams requested at the engine.
    pub wanted_streams: u32,
    /// Time at which the request was received.
    pub at: Timestamp,
}

/// A limit granted to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchGrant {
    /// Node that holds the grant.
    pub holder: NodeId,
    /// Maximum number of batch streams it may run at the engine.
    pub limit: u32,
}

#[derive(Clone, Copy, Debug)]
struct OnlineNotice {
    in_flight: u32,
    at: Timestamp,
}

/// Online load, batch requests and grants of one engine, by node.
#[derive(Clone, Debug, Default)]
pub struct Steward {
    online: BTreeMap<NodeId, OnlineNotice>,
    requests: BTreeMap<NodeId, BatchRequest>,
    granted: BTreeMap<NodeId, u32>,
}

impl Steward {
    /// Records the number of online requests a node has in flight at the engine.
    pub fn record_online_notice(&mut self, node: NodeId, in_flight: u32, now: Timestamp) {
        if in_flight == 0 {
            self.online.remove(&node);
        } else {
            self.online.insert(node, OnlineNotice { in_flight, at: now });
        }
    }

    /// Records a request for batch capacity; zero withdraws the holder's request and grant.
    pub fn record_request(&mut self, holder: NodeId, wanted_streams: u32, now: Timestamp) {
        if wanted_streams == 0 {
            self.requests.remove(&holder);
            self.granted.remove(&holder);
        } else {
            self.requests.insert(holder, BatchRequest { wanted_streams, at: now });
        }
    }

    /// Returns the number of online requests in flight at the engine, as reported by the nodes.
    pub fn online_in_flight(&self) -> u32 {
        self.online.values().map(|notice| notice.in_flight).sum()
    }

    /// Removes expired notices and requests, and the grants of nodes without a request.
    pub fn expire(&mut self, now: Timestamp) {
        self.online.retain(|_, notice| now.since(notice.at) < ONLINE_NOTICE_LIFETIME);
        self.requests.retain(|_, request| now.since(request.at) < GRANT_LIFETIME);
        let requests = &self.requests;
        self.granted.retain(|holder, _| requests.contains_key(holder));
    }

    /// Returns the total number of batch streams that may run at the engine.
    pub fn batch_capacity(&self, settings: StewardSettings) -> u32 {
        let headroom = (f64::from(settings.slots) * settings.online_headroom).ceil() as u32;
        settings.slots.saturating_sub(headroom).saturating_sub(self.online_in_flight())
    }

    /// Divides the batch capacity using max-min fairness: capacity that a node does not request is shared
    /// among the others.
    pub fn divide(&self, settings: StewardSettings) -> Vec<BatchGrant> {
        let mut remaining = self.batch_capacity(settings);
        let mut requests: Vec<(u32, NodeId)> =
            self.requests.iter().map(|(holder, request)| (request.wanted_streams, *holder)).collect();
        requests.sort_unstable();
        let mut grants = Vec::new();
        let count = requests.len();
        for (index, (wanted_streams, holder)) in requests.into_iter().enumerate() {
            let waiting = (count - index) as u32;
            let share = remaining.div_ceil(waiting);
            let limit = wanted_streams.min(share).min(remaining);
            remaining -= limit;
            grants.push(BatchGrant { holder, limit });
        }
        grants
    }

    /// Recomputes the limits and returns those that are lower than the holder's last grant.
    pub fn lowered_limits(&mut self, settings: StewardSettings) -> Vec<BatchGrant> {
        self.regrant(settings, |limit, granted| limit < granted)
    }

    /// Recomputes the limits and returns those that differ from the holder's last grant.
    pub fn changed_limits(&mut self, settings: StewardSettings) -> Vec<BatchGrant> {
        self.regrant(settings, |limit, granted| limit != granted)
    }

    fn regrant(&mut self, settings: StewardSettings, should_send: impl Fn(u32, u32) -> bool) -> Vec<BatchGrant> {
        let mut grants = self.divide(settings);
        grants
            .retain(|grant| self.granted.get(&grant.holder).is_some_and(|granted| should_send(grant.limit, *granted)));
        for grant in &grants {
            self.granted.insert(grant.holder, grant.limit);
        }
        grants
    }

    /// Recomputes the limits, then records and returns the one of `holder`.
    pub fn grant(&mut self, holder: NodeId, settings: StewardSettings) -> u32 {
        let limit = self.divide(settings).iter().find(|grant| grant.holder == holder).map_or(0, |grant| grant.limit);
        self.granted.insert(holder, limit);
        limit
    }
}
