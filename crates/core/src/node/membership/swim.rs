//! The SWIM state machine: one node's view of all nodes, what it does as time passes, and the messages
//! it takes.
//!
//! Owns the view. Relies on `probing` to find out who answers, and on `dissemination` to merge and
//! spread what is known.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::dissemination::KnownMember;
use super::member::{Member, MemberStatus};
use super::message::{MembershipMessage, MembershipPayload};
use super::probing::{Probe, Relay};
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Most seeds remembered; the oldest are dropped.
const MOST_SEEDS: usize = 64;
/// How many nodes are sent a planned stop directly.
const DEPARTURE_MESSAGES: usize = 16;

/// Times and limits of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_interval: Millis,
    /// How long a direct probe may take before others are asked.
    pub probe_timeout: Millis,
    /// How many others are asked.
    pub indirect_probes: usize,
    /// Suspicion lasts this many probe intervals, times the logarithm of the number of nodes.
    pub suspicion_factor: u64,
    /// Most updates on one message.
    pub updates_per_message: usize,
    /// Time between two full exchanges.
    pub sync_interval: Millis,
    /// Time between two tries to reach a seed or a dead node.
    pub reconnect_interval: Millis,
    /// How long a dead or departed node is remembered.
    pub forget_after: Millis,
}

/// A dead node is probed, suspected and declared dead within seconds, and a node sends two probes a second whatever the
/// number of nodes.
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

/// What a driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: MembershipMessage,
    },
    /// A member's status changed.
    Changed {
        /// The member as it is now.
        member: Member,
    },
    /// A peer has a configuration revision in force.
    PeerRevision {
        /// The peer.
        peer: NodeId,
        /// The revision.
        revision: u64,
    },
}

/// One node's view of all nodes.
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: Member,
    pub(super) configuration_revision: u64,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) members: BTreeMap<NodeId, KnownMember>,
    pub(super) probe_order: Vec<NodeId>,
    pub(super) probe: Option<Probe>,
    pub(super) relays: BTreeMap<u64, Relay>,
    pub(super) next_sequence: u64,
    pub(super) next_probe: Timestamp,
    pub(super) next_sync: Timestamp,
    pub(super) next_reconnect: Timestamp,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) effects: Vec<MembershipEffect>,
}

impl Membership {
    /// Starts with this node alone; `seeds` are addresses of nodes that may be up.
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
            relays: BTreeMap::new(),
            next_sequence: 1,
            next_probe: now,
            next_sync: now + settings.sync_interval,
            next_reconnect: now,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            effects: Vec::new(),
        }
    }

    /// This node as it spreads itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// A member other than this node.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id).map(|known| &known.member)
    }

    /// All members other than this node, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// This node (unless it left) and all others that are alive or only suspected.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others()).filter(|member| member.is_present())
    }

    /// Since when a member has its present status.
    pub fn changed_at(&self, id: NodeId) -> Option<Timestamp> {
        self.members.get(&id).map(|known| known.changed_at)
    }

    /// Notes the configuration revision that is in force here.
    pub fn set_configuration_revision(&mut self, revision: u64) {
        self.configuration_revision = revision;
    }

    /// Adds addresses of nodes that may be up.
    pub fn add_seeds(&mut self, addresses: &BTreeSet<SocketAddr>) {
        for address in addresses {
            if *address != self.own.peer_address && !self.seeds.contains(address) {
                self.seeds.push(*address);
            }
        }
        let excess = self.seeds.len().saturating_sub(MOST_SEEDS);
        self.seeds.drain(..excess);
    }

    /// Some members that are present, at random.
    pub fn sample_present(&mut self, count: usize) -> Vec<NodeId> {
        let present: Vec<NodeId> = self.others().filter(|member| member.is_present()).map(|member| member.id).collect();
        present.choose_multiple(&mut self.random, count).copied().collect()
    }

    /// Takes the effects gathered so far.
    pub fn take_effects(&mut self) -> Vec<MembershipEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Announces that this node leaves by a planned stop.
    pub fn leave(&mut self) {
        self.own.incarnation += 1;
        self.own.status = MemberStatus::Left;
        let addresses: Vec<SocketAddr> =
            self.others().filter(|member| member.is_present()).map(|member| member.peer_address).collect();
        for address in addresses.into_iter().take(DEPARTURE_MESSAGES) {
            self.send(address, MembershipPayload::Ping { target: None });
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.relays.retain(|_, relay| relay.deadline > now);
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
            self.sync_with_one();
        }
    }

    /// Takes a message from another node.
    pub fn step(&mut self, message: MembershipMessage, now: Timestamp) {
        let sender = message.sender.id;
        if sender == self.own.id {
            return;
        }
        let reply_to = message.sender.peer_address;
        let is_new = !self.members.contains_key(&sender);
        self.learn(message.sender.clone(), now);
        for update in message.updates {
            self.learn(update, now);
        }
        self.effects.push(MembershipEffect::PeerRevision { peer: sender, revision: message.configuration_revision });
        match message.payload {
            MembershipPayload::Ping { target } => self.on_ping(target, message.sequence, reply_to),
            MembershipPayload::Ack { subject } => self.on_ack(subject, message.sequence, now),
            MembershipPayload::PingRequest { target } => {
                self.on_ping_request(target, message.sequence, reply_to, now);
            }
            MembershipPayload::SyncRequest => self.send_all(reply_to, MembershipPayload::SyncAnswer),
            MembershipPayload::SyncAnswer => {}
        }
        if is_new && self.own.is_present() {
            self.send_all(reply_to, MembershipPayload::SyncRequest);
        }
    }

    fn reconnect(&mut self) {
        let known_up: Vec<SocketAddr> =
            self.others().filter(|member| member.is_present()).map(|member| member.peer_address).collect();
        let lost: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(self.others().filter(|member| member.status == MemberStatus::Dead).map(|member| member.peer_address))
            .filter(|address| !known_up.contains(address))
            .collect();
        if let Some(address) = lost.choose(&mut self.random).copied() {
            self.send_all(address, MembershipPayload::SyncRequest);
        }
    }

    fn sync_with_one(&mut self) {
        let chosen = self.sample_present(1);
        let address = chosen.first().and_then(|id| self.member(*id)).map(|member| member.peer_address);
        if let Some(address) = address {
            self.send_all(address, MembershipPayload::SyncRequest);
        }
    }
}
