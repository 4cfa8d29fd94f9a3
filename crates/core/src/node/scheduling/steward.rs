//! The steward of one engine: it divides what online leaves free.

use std::collections::BTreeMap;

use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// How long a granted limit holds.
pub const GRANT_LIFETIME: Millis = Millis(1_500);
/// A node that reports nothing for this long is taken to have nothing at the engine.
const ONLINE_NOTICE_LIFETIME: Millis = Millis(5_000);

/// What a steward goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StewardSettings {
    /// Sequences that the engine decodes at once.
    pub slots: u32,
    /// The share of the slots that batch leaves free.
    pub online_headroom: f64,
}

/// What a leader asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchRequest {
    /// How many streams it would like to have there in all.
    pub wanted_streams: u32,
    /// When it asked.
    pub at: Timestamp,
}

/// A limit for one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchGrant {
    /// The holder.
    pub holder: NodeId,
    /// Most batch streams it may have at the engine.
    pub limit: u32,
}

#[derive(Clone, Copy, Debug)]
struct OnlineNotice {
    in_flight: u32,
    at: Timestamp,
}

/// The steward of one engine.
#[derive(Clone, Debug, Default)]
pub struct Steward {
    online: BTreeMap<NodeId, OnlineNotice>,
    requests: BTreeMap<NodeId, BatchRequest>,
    granted: BTreeMap<NodeId, u32>,
}

impl Steward {
    /// A node reports how many online requests it has at the engine.
    pub fn record_online_notice(&mut self, node: NodeId, in_flight: u32, now: Timestamp) {
        if in_flight == 0 {
            self.online.remove(&node);
        } else {
            self.online.insert(node, OnlineNotice { in_flight, at: now });
        }
    }

    /// A leader asks for room.
    pub fn record_request(&mut self, holder: NodeId, wanted_streams: u32, now: Timestamp) {
        if wanted_streams == 0 {
            self.requests.remove(&holder);
            self.granted.remove(&holder);
        } else {
            self.requests.insert(holder, BatchRequest { wanted_streams, at: now });
        }
    }

    /// Online requests at the engine, as reported by the nodes.
    pub fn online_in_flight(&self) -> u32 {
        self.online.values().map(|notice| notice.in_flight).sum()
    }

    /// Forgets those who fell silent.
    pub fn expire(&mut self, now: Timestamp) {
        self.online.retain(|_, notice| now.since(notice.at) < ONLINE_NOTICE_LIFETIME);
        self.requests.retain(|_, request| now.since(request.at) < GRANT_LIFETIME);
        let requests = &self.requests;
        self.granted.retain(|holder, _| requests.contains_key(holder));
    }

    /// Streams that batch may have at the engine in all.
    pub fn batch_capacity(&self, settings: StewardSettings) -> u32 {
        let headroom = (f64::from(settings.slots) * settings.online_headroom).ceil() as u32;
        settings.slots.saturating_sub(headroom).saturating_sub(self.online_in_flight())
    }

    /// Divides the capacity: everyone gets an equal share, and what one doesn't want goes to the others.
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

    /// Divides anew and returns the limits that are lower than what their holder was last granted.
    pub fn lowered_limits(&mut self, settings: StewardSettings) -> Vec<BatchGrant> {
        self.regrant(settings, |limit, granted| limit < granted)
    }

    /// Divides anew and returns all limits that differ from what their holder was last granted.
    pub fn changed_limits(&mut self, settings: StewardSettings) -> Vec<BatchGrant> {
        self.regrant(settings, |limit, granted| limit != granted)
    }

    fn regrant(&mut self, settings: StewardSettings, is_due: impl Fn(u32, u32) -> bool) -> Vec<BatchGrant> {
        let mut grants = self.divide(settings);
        grants.retain(|grant| self.granted.get(&grant.holder).is_some_and(|granted| is_due(grant.limit, *granted)));
        for grant in &grants {
            self.granted.insert(grant.holder, grant.limit);
        }
        grants
    }

    /// The limit to grant one holder now.
    pub fn grant(&mut self, holder: NodeId, settings: StewardSettings) -> u32 {
        let limit = self.divide(settings).iter().find(|grant| grant.holder == holder).map_or(0, |grant| grant.limit);
        self.granted.insert(holder, limit);
        limit
    }
}
