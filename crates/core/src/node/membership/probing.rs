//! Direct and indirect probes, and the expiry of suspicions.
//!
//! Maintains the pending probe and the probes made on behalf of other nodes. Status changes are spread by
//! `dissemination`.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use super::member::{Member, MemberStatus};
use super::message::MembershipPayload;
use super::swim::Membership;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// A probe that awaits its ack.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) target: NodeId,
    pub(super) sequence: u64,
    pub(super) started: Timestamp,
    pub(super) indirect_sent: bool,
}

/// An indirect probe made on behalf of another node.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
    pub(super) origin: SocketAddr,
    pub(super) origin_sequence: u64,
    pub(super) deadline: Timestamp,
}

impl Membership {
    pub(super) fn on_ping(&mut self, target: Option<NodeId>, sequence: u64, reply_to: SocketAddr) {
        if target.is_some_and(|target| target != self.own.id) {
            return;
        }
        let subject = self.own.id;
        self.send_with_sequence(reply_to, sequence, MembershipPayload::Ack { subject });
    }

    pub(super) fn on_ack(&mut self, subject: NodeId, sequence: u64, now: Timestamp) {
        if let Some(relay) = self.relayed_probes.remove(&sequence) {
            self.send_with_sequence(relay.origin, relay.origin_sequence, MembershipPayload::Ack { subject });
        }
        if self.probe.is_some_and(|probe| probe.target == subject && probe.sequence == sequence) {
            self.probe = None;
            self.confirm_alive(subject, now);
        }
    }

    /// Restarts the suspicion timeout of a suspected member that acknowledged a probe.
    fn confirm_alive(&mut self, subject: NodeId, now: Timestamp) {
        if let Some(known) = self.members.get_mut(&subject)
            && known.member.status == MemberStatus::Suspect
        {
            known.changed_at = known.changed_at.max(now);
        }
    }

    pub(super) fn on_ping_request(&mut self, target: NodeId, origin_sequence: u64, origin: SocketAddr, now: Timestamp) {
        let Some(address) = self.member(target).map(|member| member.peer_address) else { return };
        let sequence = self.allocate_sequence();
        let deadline = now + self.settings.probe_interval;
        self.relayed_probes.insert(sequence, RelayedProbe { origin, origin_sequence, deadline });
        self.send_with_sequence(address, sequence, MembershipPayload::Ping { target: Some(target) });
    }

    pub(super) fn start_probe(&mut self, now: Timestamp) {
        if self.own.status == MemberStatus::Left {
            return;
        }
        let Some(target) = self.next_probe_target() else { return };
        let Some(address) = self.member(target).map(|member| member.peer_address) else { return };
        let sequence = self.allocate_sequence();
        self.probe = Some(Probe { target, sequence, started: now, indirect_sent: false });
        self.send_with_sequence(address, sequence, MembershipPayload::Ping { target: Some(target) });
    }

    /// Returns the next member of a shuffled round over all members, which bounds the time until a dead node is
    /// probed.
    fn next_probe_target(&mut self) -> Option<NodeId> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.others().filter(|member| member.is_present()).map(|member| member.id).collect();
                self.probe_order.shuffle(&mut self.random);
            }
            let target = self.probe_order.pop()?;
            if self.member(target).is_some_and(Member::is_present) {
                return Some(target);
            }
        }
    }

    pub(super) fn continue_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe else { return };
        if probe.indirect_sent || now.since(probe.started) < self.settings.probe_timeout {
            return;
        }
        self.probe = Some(Probe { indirect_sent: true, ..probe });
        let count = self.settings.indirect_probes + 1;
        let helpers = self.sample_present(count).into_iter().filter(|helper| *helper != probe.target);
        let addresses: Vec<SocketAddr> =
            helpers.filter_map(|helper| self.member(helper).map(|member| member.peer_address)).collect();
        for address in addresses.into_iter().take(self.settings.indirect_probes) {
            let payload = MembershipPayload::PingRequest { target: probe.target };
            self.send_with_sequence(address, probe.sequence, payload);
        }
    }

    pub(super) fn finish_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else { return };
        let Some(known) = self.members.get(&probe.target) else { return };
        if known.member.status == MemberStatus::Alive {
            let suspect = Member { status: MemberStatus::Suspect, ..known.member.clone() };
            self.merge(suspect, now);
        }
    }

    pub(super) fn expire_suspicions(&mut self, now: Timestamp) {
        let limit = self.suspicion_timeout();
        let forget_after = self.settings.forget_after;
        let expired: Vec<Member> = self
            .members
            .values()
            .filter(|known| known.member.status == MemberStatus::Suspect && now.since(known.changed_at) >= limit)
            .map(|known| Member { status: MemberStatus::Dead, ..known.member.clone() })
            .collect();
        for dead in expired {
            self.merge(dead, now);
        }
        self.members.retain(|_, known| known.member.is_present() || now.since(known.changed_at) < forget_after);
    }

    fn suspicion_timeout(&self) -> Millis {
        let count = self.members.len() as u64 + 1;
        let logarithm = u64::from(count.ilog2()).max(1);
        Millis(self.settings.suspicion_factor * logarithm * self.settings.probe_interval.0)
    }
}
