//! Node and fleet status. A fleet status queries every present node and is returned when all have
//! responded or the timeout has elapsed.
//!
//! This module owns the fleet status requests in progress; the membership determines which nodes are
//! queried.

use std::collections::BTreeSet;

use super::event::CallerAnswer;
use super::machine::Node;
use super::status::{FleetStatus, NodeStatus};
use crate::identity::{CallerId, NodeId};
use crate::peer_message::PeerMessage;
use crate::time::{Millis, Timestamp};

/// Time that a fleet status waits for unresponsive nodes.
const FLEET_STATUS_TIMEOUT: Millis = Millis(1_000);

/// A fleet status request awaiting responses.
pub(super) struct PendingFleetStatus {
    waiting: BTreeSet<NodeId>,
    collected: Vec<NodeStatus>,
    deadline: Timestamp,
}

impl Node {
    /// Returns whether a fleet status request is in progress.
    pub(super) fn has_pending_fleet_status(&self) -> bool {
        !self.pending_fleet_statuses.is_empty()
    }

    /// Returns the status of this node.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            node: self.settings.id.to_string(),
            zone: self.settings.zone.to_string(),
            caller_address: self.settings.caller_address.to_string(),
            stores: self.settings.stores,
            ready: self.is_ready(),
            stopping: self.stopping.is_some(),
            configuration_revision: self.configuration.revision(),
            configuration_digest: format!("{:016x}", self.configuration.digest()),
            members_present: self.membership.present().count(),
            online_requests: self.online.requests.len(),
            batch_streams: self.batch.dispatcher.streams().count(),
            groups: self.groups.statuses(),
            counters: self.counters,
        }
    }

    pub(super) fn begin_fleet_status(&mut self, caller: CallerId) {
        let others: BTreeSet<NodeId> =
            self.membership.present().map(|member| member.id).filter(|id| *id != self.settings.id).collect();
        let from = self.settings.id;
        for node in &others {
            self.send(*node, PeerMessage::StatusRequest { from, id: caller.0 });
        }
        let gathering = PendingFleetStatus {
            waiting: others,
            collected: vec![self.status()],
            deadline: self.clock.now + FLEET_STATUS_TIMEOUT,
        };
        self.pending_fleet_statuses.insert(caller, gathering);
        self.finish_fleet_statuses();
    }

    pub(super) fn on_status_answer(&mut self, caller: CallerId, status: NodeStatus) {
        if let Some(gathering) = self.pending_fleet_statuses.get_mut(&caller) {
            let answered = gathering.waiting.iter().find(|id| id.to_string() == status.node).copied();
            if let Some(id) = answered {
                gathering.waiting.remove(&id);
                gathering.collected.push(status);
            }
        }
        self.finish_fleet_statuses();
    }

    pub(super) fn finish_fleet_statuses(&mut self) {
        let now = self.clock.now;
        let done: Vec<CallerId> = self
            .pending_fleet_statuses
            .iter()
            .filter(|(_, gathering)| gathering.waiting.is_empty() || now >= gathering.deadline)
            .map(|(caller, _)| *caller)
            .collect();
        for caller in done {
            let Some(gathering) = self.pending_fleet_statuses.remove(&caller) else { continue };
            let silent = gathering.waiting.iter().map(NodeId::to_string).collect();
            let mut nodes = gathering.collected;
            nodes.sort_by(|left, right| left.node.cmp(&right.node));
            self.answer(caller, CallerAnswer::FleetStatus(FleetStatus { nodes, silent }));
        }
    }
}
