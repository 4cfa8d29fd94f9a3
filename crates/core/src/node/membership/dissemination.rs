//! Merges member records from other nodes into the view and piggybacks changes on messages.
//!
//! Bounds how often each change is sent. The precedence of records is defined by `Member::supersedes`.

use std::net::SocketAddr;

use super::member::{Member, MemberStatus};
use super::message::{MembershipMessage, MembershipPayload};
use super::swim::{Membership, MembershipEffect};
use crate::identity::NodeId;
use crate::time::Timestamp;

/// Number of transmissions of a change, as a multiple of the logarithm of the number of nodes.
const TRANSMISSION_FACTOR: u32 = 3;

/// A member and its local dissemination state.
#[derive(Clone, Debug)]
pub(super) struct MemberRecord {
    pub(super) member: Member,
    pub(super) changed_at: Timestamp,
    /// Remaining number of messages that carry the record.
    pub(super) transmissions_left: u32,
}

impl Membership {
    pub(super) fn merge(&mut self, update: Member, now: Timestamp) {
        if update.id == self.own.id {
            self.refute(&update);
            return;
        }
        let known = self.members.get(&update.id);
        if known.is_some_and(|known| !update.supersedes(&known.member)) {
            return;
        }
        let status_changed = known.is_none_or(|known| known.member.status != update.status);
        let changed_at = match known {
            Some(known) if !status_changed => known.changed_at,
            _ => now,
        };
        let transmissions_left = self.transmission_limit();
        self.members.insert(update.id, MemberRecord { member: update.clone(), changed_at, transmissions_left });
        if status_changed {
            self.effects.push(MembershipEffect::Changed { member: update });
        }
    }

    /// Refutes a contradicting record of this node by a higher incarnation, which only the node itself may raise.
    fn refute(&mut self, update: &Member) {
        let is_contradicted = update.incarnation > self.own.incarnation
            || (update.incarnation == self.own.incarnation && update.status > self.own.status);
        if is_contradicted {
            self.own.incarnation = update.incarnation + 1;
        }
    }

    fn transmission_limit(&self) -> u32 {
        let count = self.members.len() as u32 + 2;
        TRANSMISSION_FACTOR * (count.ilog2() + 1)
    }

    pub(super) fn allocate_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    pub(super) fn send(&mut self, to: SocketAddr, payload: MembershipPayload) {
        let sequence = self.allocate_sequence();
        self.send_with_sequence(to, sequence, payload);
    }

    pub(super) fn send_with_sequence(&mut self, to: SocketAddr, sequence: u64, payload: MembershipPayload) {
        let mut updates = self.take_updates();
        updates.extend(self.record_to_refute(to));
        self.push_message(to, sequence, payload, updates);
    }

    pub(super) fn send_full_view(&mut self, to: SocketAddr, payload: MembershipPayload) {
        let sequence = self.allocate_sequence();
        let updates = self.others().cloned().collect();
        self.push_message(to, sequence, payload, updates);
    }

    fn push_message(&mut self, to: SocketAddr, sequence: u64, payload: MembershipPayload, updates: Vec<Member>) {
        let message = MembershipMessage {
            sender: self.own.clone(),
            sequence,
            configuration_revision: self.configuration_revision,
            payload,
            updates,
        };
        self.effects.push(MembershipEffect::Send { to, message });
    }

    /// Returns the record of the node at `address` if it is not alive, so that the receiver can refute it.
    fn record_to_refute(&self, address: SocketAddr) -> Option<Member> {
        let needs_refutation =
            |member: &&Member| member.peer_address == address && member.status != MemberStatus::Alive;
        self.others().find(needs_refutation).cloned()
    }

    /// Takes the updates with the most remaining transmissions.
    fn take_updates(&mut self) -> Vec<Member> {
        let mut pending: Vec<(u32, NodeId)> = self
            .members
            .iter()
            .filter(|(_, known)| known.transmissions_left > 0)
            .map(|(id, known)| (known.transmissions_left, *id))
            .collect();
        pending.sort_unstable_by(|left, right| right.cmp(left));
        pending.truncate(self.settings.updates_per_message);
        let mut updates = Vec::new();
        for (_, id) in pending {
            if let Some(known) = self.members.get_mut(&id) {
                known.transmissions_left -= 1;
                updates.push(known.member.clone());
            }
        }
        updates
    }
}
