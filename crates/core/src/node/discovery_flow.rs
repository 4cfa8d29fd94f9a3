//! How a node that knows nobody finds the others.
//!
//! Every node may be replaced, so the seeds of a settings file may all be gone one day. One node at a
//! time therefore keeps a few addresses of present nodes in the key-value service, and a node that
//! sees nobody reads them. No step depends on it while a seed answers.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::effect::KeyValueOperation;
use super::event::KeyValueOutcome;
use super::key_value_flow::KeyValuePurpose;
use super::machine::Node;
use crate::time::{Millis, Timestamp};

/// Where the addresses are kept.
const NODES_KEY: &str = "nodes";
/// Most addresses kept.
const MOST_LISTED: usize = 16;
/// Time between two looks at the list by the node that keeps it.
const KEEP_INTERVAL: Millis = Millis(15_000);
/// Time between two reads by a node that sees nobody.
const SEARCH_INTERVAL: Millis = Millis(3_000);

/// When the list is looked at next.
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
        self.discovery.next = now + if is_alone { SEARCH_INTERVAL } else { KEEP_INTERVAL };
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
            self.keep_node_list(version, &listed);
        }
    }

    /// Writes the list anew if it lacks a node it has room for, or names one that is gone. A write that
    /// is lost, or loses against another, is made up for at the next look.
    fn keep_node_list(&mut self, version: u64, listed: &BTreeSet<SocketAddr>) {
        let present: BTreeSet<SocketAddr> = self.membership.present().map(|member| member.peer_address).collect();
        // A node that sees nobody must not write over what others know.
        if present.len() <= 1 && !listed.is_empty() {
            return;
        }
        let kept = listed.intersection(&present).copied();
        let wanted: BTreeSet<SocketAddr> = kept.chain(present.iter().copied()).take(MOST_LISTED).collect();
        if wanted == *listed {
            return;
        }
        let Ok(value) = serde_json::to_string(&wanted) else { return };
        let operation = KeyValueOperation::CompareAndSwap { key: NODES_KEY.to_owned(), expected: version, value };
        self.call_key_value(KeyValuePurpose::WriteNodes, operation);
    }
}
