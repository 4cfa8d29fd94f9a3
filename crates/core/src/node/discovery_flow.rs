//! Discovery of other nodes through the key-value service.
//!
//! Every node may be replaced over time, so all seeds of a settings file may become obsolete. One node at
//! a time therefore publishes the addresses of a few present nodes in the key-value service, and a node
//! without peers reads them. The service is not needed while any seed responds.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::effect::KeyValueOperation;
use super::event::KeyValueOutcome;
use super::key_value_flow::KeyValuePurpose;
use super::machine::Node;
use crate::time::{Millis, Timestamp};

/// Key of the address list in the key-value service.
const NODES_KEY: &str = "nodes";
/// Maximum number of addresses in the list.
const MAX_LISTED_ADDRESSES: usize = 16;
/// Interval at which the publishing node checks the list.
const UPDATE_INTERVAL: Millis = Millis(15_000);
/// Interval between reads by a node without peers.
const SEARCH_INTERVAL: Millis = Millis(3_000);

/// The time of the next check of the address list.
pub(super) struct DiscoveryState {
    next: Timestamp,
}

impl DiscoveryState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { next: now + SEARCH_INTERVAL }
    }
}

impl Node {
    pub(super) fn tick_discovery(&mut self) {
        let now = self.clock.now;
        if now < self.discovery.next {
            return;
        }
        let is_alone = self.membership.present().count() <= 1;
        self.discovery.next = now + if is_alone { SEARCH_INTERVAL } else { UPDATE_INTERVAL };
        if is_alone || self.has_duty("node-list", 1) {
            let operation = KeyValueOperation::Get { key: NODES_KEY.to_owned() };
            self.call_key_value(KeyValuePurpose::ReadNodes, operation);
        }
    }

    pub(super) fn on_nodes_read(&mut self, outcome: &KeyValueOutcome) {
        let (version, listed) = match outcome {
            KeyValueOutcome::Value { version, value } => (*version, serde_json::from_str(value).unwrap_or_default()),
            KeyValueOutcome::NotFound => (0, BTreeSet::new()),
            _ => return,
        };
        self.membership.add_seeds(&listed);
        if self.has_duty("node-list", 1) {
            self.update_node_list(version, &listed);
        }
    }

    /// Rewrites the list if it contains an absent node or has capacity for an unlisted one. A failed or
    /// conflicting write is corrected by the next check.
    fn update_node_list(&mut self, version: u64, listed: &BTreeSet<SocketAddr>) {
        let present: BTreeSet<SocketAddr> = self.membership.present().map(|member| member.peer_address).collect();
        // A node without peers must not overwrite the addresses published by others.
        if present.len() <= 1 && !listed.is_empty() {
            return;
        }
        let retained = listed.intersection(&present).copied();
        let wanted: BTreeSet<SocketAddr> = retained.chain(present.iter().copied()).take(MAX_LISTED_ADDRESSES).collect();
        if wanted == *listed {
            return;
        }
        let Ok(value) = serde_json::to_string(&wanted) else { return };
        let operation = KeyValueOperation::CompareAndSwap { key: NODES_KEY.to_owned(), expected: version, value };
        self.call_key_value(KeyValuePurpose::WriteNodes, operation);
    }
}
