//! The SWIM state machine: one node's view of all nodes, its timers and its message handling.
//!
//! Owns the view. `probing` detects failures; `dissemination` merges and spreads records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::dissemination::MemberRecord;
use super::member::{Member, MemberStatus};
use super::message::{MembershipMessage, MembershipPayload};
use super::probing::{Probe, RelayedProbe};
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Maximum number of seeds; the oldest are dropped.
const MAX_SEEDS: usize = 64;
/// Maximum number of nodes that are notified directly of a graceful shutdown.
const MAX_DEPARTURE_MESSAGES: usize = 16;

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Interval between probes.
    pub probe_interval: Millis,
    /// Time without an ack after which indirect probes are requested.
    pub probe_timeout: Millis,
    /// Number of indirect probes requested after a direct probe times out.
    pub indirect_probes: usize,
    /// Suspicion timeout in probe intervals, multiplied by the logarithm of the number of nodes.
    pub suspicion_factor: u64,
    /// Maximum number of piggybacked updates per message.
    pub updates_per_message: usize,
    /// Interval between exchanges of the full view.
    pub sync_interval: Millis,
    /// Interval between attempts to contact a seed or a dead node.
    pub reconnect_interval: Millis,
    /// Time after which the record of a dead or departed node is removed.
    pub forget_after: Millis,
}

/// With the defaults, each node sends two probes per second, and a failed node is declared dead within seconds.
impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Millis(500),
            probe_timeout: Millis(200),
            indirect_probes: 3,
            suspicion_factor: 3,
            updates_per_message: 6,
            sync_interval: Millis(30_000),
            reconnect_interval: Millis(5_000),
            forget_after: Millis(3_600_000),
        }
    }
}

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send a message.
    Send {
        /// The peer address of the receiver.
        to: SocketAddr,
        /// The message to send.
        message: MembershipMessage,
    },
    /// A member was added or its status changed.
    Changed {
        /// The member's new record.
        member: Member,
    },
    /// A peer reported its active configuration revision.
    PeerRevision {
        /// The peer that reported the revision.
        peer: NodeId,
        /// The active revision; 0 if there is none.
        revision: u64,
    },
}

/// One node's view of all nodes.
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: Member,
    pub(super) configuration_revision: u64,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) members: BTreeMap<NodeId, MemberRecord>,
    pub(super) probe_order: Vec<NodeId>,
    pub(super) probe: Option<Probe>,
    pub(super) relayed_probes: BTreeMap<u64, RelayedProbe>,
    pub(super) next_sequence: u64,
    pub(super) next_probe: Timestamp,
    pub(super) next_sync: Timestamp,
    pub(super) next_reconnect: Timestamp,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) effects: Vec<MembershipEffect>,
}

impl Membership {
    /// Creates a view that contains only this node. `seeds` are addresses of nodes to contact.
    pub fn new(settings: MembershipSettings, own: Member, seeds: Vec<SocketAddr>, now: Timestamp, seed: u64) -> Self {
        let seeds = seeds.into_iter().filter(|address| *address != own.peer_address).collect();
        Self {
            settings,
            own,
            configuration_revision: 0,
            seeds,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: BTreeMap::new(),
            next_sequence: 1,
            next_probe: now,
            next_sync: now + settings.sync_interval,
            next_reconnect: now,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            effects: Vec::new(),
        }
    }

    /// Returns this node's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the record of a member other than this node.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id).map(|known| &known.member)
    }

    /// Returns all members other than this node, including dead ones.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// Returns all members that are alive or suspected, including this node unless it has left.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others()).filter(|member| member.is_present())
    }

    /// Returns the time of the last status change of a member, or of its last ack while suspected.
    pub fn changed_at(&self, id: NodeId) -> Option<Timestamp> {
        self.members.get(&id).map(|known| known.changed_at)
    }

    /// Sets the active configuration revision that is reported to peers.
    pub fn set_configuration_revision(&mut self, revision: u64) {
        self.configuration_revision = revision;
    }

    /// Adds addresses of nodes to contact.
    pub fn add_seeds(&mut self, addresses: &BTreeSet<SocketAddr>) {
        for address in addresses {
            if *address != self.own.peer_address && !self.seeds.contains(address) {
                self.seeds.push(*address);
            }
        }
        let excess = self.seeds.len().saturating_sub(MAX_SEEDS);
        self.seeds.drain(..excess);
    }

    /// Returns up to `count` random present members other than this node.
    pub fn sample_present(&mut self, count: usize) -> Vec<NodeId> {
        let present: Vec<NodeId> = self.others().filter(|member| member.is_present()).map(|member| member.id).collect();
        present.choose_multiple(&mut self.random, count).copied().collect()
    }

    /// Takes the accumulated effects.
    pub fn take_effects(&mut self) -> Vec<MembershipEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Announces that this node leaves by a graceful shutdown.
    pub fn leave(&mut self) {
        self.own.incarnation += 1;
        self.own.status = MemberStatus::Left;
        let addresses: Vec<SocketAddr> =
            self.others().filter(|member| member.is_present()).map(|member| member.peer_address).collect();
        for address in addresses.into_iter().take(MAX_DEPARTURE_MESSAGES) {
            self.send(address, MembershipPayload::Ping { target: None });
        }
    }

    /// Processes all timers that are due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        self.relayed_probes.retain(|_, relay| relay.deadline > now);
        self.continue_probe(now);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.finish_probe(now);
            self.start_probe(now);
        }
        self.expire_suspicions(now);
        if now >= self.next_reconnect {
            self.next_reconnect = now + self.settings.reconnect_interval;
            self.reconnect();
        }
        if now >= self.next_sync {
            self.next_sync = now + self.settings.sync_interval;
            self.sync_with_random_member();
        }
    }

    /// Processes a message from another node.
    pub fn step(&mut self, message: MembershipMessage, now: Timestamp) {
        let sender = message.sender.id;
        if sender == self.own.id {
            return;
        }
        let reply_to = message.sender.peer_address;
        let is_new = !self.members.contains_key(&sender);
        self.merge(message.sender.clone(), now);
        for update in message.updates {
            self.merge(update, now);
        }
        self.effects.push(MembershipEffect::PeerRevision { peer: sender, revision: message.configuration_revision });
        match message.payload {
            MembershipPayload::Ping { target } => self.on_ping(target, message.sequence, reply_to),
            MembershipPayload::Ack { subject } => self.on_ack(subject, message.sequence, now),
            MembershipPayload::PingRequest { target } => {
                self.on_ping_request(target, message.sequence, reply_to, now);
            }
            MembershipPayload::SyncRequest => self.send_full_view(reply_to, MembershipPayload::SyncAnswer),
            MembershipPayload::SyncAnswer => {}
        }
        if is_new && self.own.is_present() {
            self.send_full_view(reply_to, MembershipPayload::SyncRequest);
        }
    }

    fn reconnect(&mut self) {
        let present_addresses: Vec<SocketAddr> =
            self.others().filter(|member| member.is_present()).map(|member| member.peer_address).collect();
        let unreachable: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(self.others().filter(|member| member.status == MemberStatus::Dead).map(|member| member.peer_address))
            .filter(|address| !present_addresses.contains(address))
            .collect();
        if let Some(address) = unreachable.choose(&mut self.random).copied() {
            self.send_full_view(address, MembershipPayload::SyncRequest);
        }
    }

    fn sync_with_random_member(&mut self) {
        let chosen = self.sample_present(1);
        let address = chosen.first().and_then(|id| self.member(*id)).map(|member| member.peer_address);
        if let Some(address) = address {
            self.send_full_view(address, MembershipPayload::SyncRequest);
        }
    }
}
