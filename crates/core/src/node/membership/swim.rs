//! The SWIM state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::member::{Member, MemberStatus};
use super::message::{MembershipMessage, MembershipPayload};
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Most seeds remembered; the oldest are dropped.
const MOST_SEEDS: usize = 64;

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

/// A probe that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Probe {
    target: NodeId,
    sequence: u64,
    started: Timestamp,
    indirect_sent: bool,
}

/// A probe made for another node.
#[derive(Clone, Copy, Debug)]
struct Relay {
    origin: SocketAddr,
    origin_sequence: u64,
    deadline: Timestamp,
}

/// What is kept of a member besides what is spread.
#[derive(Clone, Debug)]
struct KnownMember {
    member: Member,
    changed_at: Timestamp,
    /// How many more times its record is carried along.
    transmissions_left: u32,
}

/// One node's view of all nodes.
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    configuration_revision: u64,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<NodeId, KnownMember>,
    probe_order: Vec<NodeId>,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    next_sequence: u64,
    next_probe: Timestamp,
    next_sync: Timestamp,
    next_reconnect: Timestamp,
    random: Xoshiro256PlusPlus,
    effects: Vec<MembershipEffect>,
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
        for address in addresses.into_iter().take(16) {
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

    fn on_ping(&mut self, target: Option<NodeId>, sequence: u64, reply_to: SocketAddr) {
        if target.is_some_and(|target| target != self.own.id) {
            return;
        }
        let subject = self.own.id;
        self.send_with_sequence(reply_to, sequence, MembershipPayload::Ack { subject });
    }

    fn on_ack(&mut self, subject: NodeId, sequence: u64, now: Timestamp) {
        if let Some(relay) = self.relays.remove(&sequence) {
            self.send_with_sequence(relay.origin, relay.origin_sequence, MembershipPayload::Ack { subject });
        }
        if self.probe.is_some_and(|probe| probe.target == subject && probe.sequence == sequence) {
            self.probe = None;
            self.confirm_alive(subject, now);
        }
    }

    /// An answer by way of another node clears a suspicion that was only raised here.
    fn confirm_alive(&mut self, subject: NodeId, now: Timestamp) {
        if let Some(known) = self.members.get_mut(&subject)
            && known.member.status == MemberStatus::Suspect
        {
            known.changed_at = known.changed_at.max(now);
        }
    }

    fn on_ping_request(&mut self, target: NodeId, origin_sequence: u64, origin: SocketAddr, now: Timestamp) {
        let Some(address) = self.member(target).map(|member| member.peer_address) else { return };
        let sequence = self.take_sequence();
        let deadline = now + self.settings.probe_interval;
        self.relays.insert(sequence, Relay { origin, origin_sequence, deadline });
        self.send_with_sequence(address, sequence, MembershipPayload::Ping { target: Some(target) });
    }

    // Probing.

    fn start_probe(&mut self, now: Timestamp) {
        if self.own.status == MemberStatus::Left {
            return;
        }
        let Some(target) = self.next_probe_target() else { return };
        let Some(address) = self.member(target).map(|member| member.peer_address) else { return };
        let sequence = self.take_sequence();
        self.probe = Some(Probe { target, sequence, started: now, indirect_sent: false });
        self.send_with_sequence(address, sequence, MembershipPayload::Ping { target: Some(target) });
    }

    /// Goes through all members in a random order before it starts over, so that a dead node is
    /// probed within a bounded time.
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

    fn continue_probe(&mut self, now: Timestamp) {
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

    fn finish_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else { return };
        let Some(known) = self.members.get(&probe.target) else { return };
        if known.member.status == MemberStatus::Alive {
            let suspect = Member { status: MemberStatus::Suspect, ..known.member.clone() };
            self.learn(suspect, now);
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp) {
        let limit = self.suspicion_timeout();
        let forget_after = self.settings.forget_after;
        let expired: Vec<Member> = self
            .members
            .values()
            .filter(|known| known.member.status == MemberStatus::Suspect && now.since(known.changed_at) >= limit)
            .map(|known| Member { status: MemberStatus::Dead, ..known.member.clone() })
            .collect();
        for dead in expired {
            self.learn(dead, now);
        }
        self.members.retain(|_, known| known.member.is_present() || now.since(known.changed_at) < forget_after);
    }

    fn suspicion_timeout(&self) -> Millis {
        let count = self.members.len() as u64 + 1;
        let logarithm = u64::from(count.ilog2()).max(1);
        Millis(self.settings.suspicion_factor * logarithm * self.settings.probe_interval.0)
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

    // Learning and spreading.

    fn learn(&mut self, update: Member, now: Timestamp) {
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
        let transmissions_left = self.transmissions();
        self.members.insert(update.id, KnownMember { member: update.clone(), changed_at, transmissions_left });
        if status_changed {
            self.effects.push(MembershipEffect::Changed { member: update });
        }
    }

    /// Only this node may raise its own incarnation; doing so overrides whatever others hold.
    fn refute(&mut self, update: &Member) {
        let holds_otherwise = update.incarnation > self.own.incarnation
            || (update.incarnation == self.own.incarnation && update.status > self.own.status);
        if holds_otherwise {
            self.own.incarnation = update.incarnation + 1;
        }
    }

    fn transmissions(&self) -> u32 {
        const FACTOR: u32 = 3;
        let count = self.members.len() as u32 + 2;
        FACTOR * (count.ilog2() + 1)
    }

    fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    fn send(&mut self, to: SocketAddr, payload: MembershipPayload) {
        let sequence = self.take_sequence();
        self.send_with_sequence(to, sequence, payload);
    }

    fn send_with_sequence(&mut self, to: SocketAddr, sequence: u64, payload: MembershipPayload) {
        let mut updates = self.take_updates();
        updates.extend(self.accusation_of(to));
        self.push_message(to, sequence, payload, updates);
    }

    fn send_all(&mut self, to: SocketAddr, payload: MembershipPayload) {
        let sequence = self.take_sequence();
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

    /// A node that is held to be other than alive is told so, so that it can refute.
    fn accusation_of(&self, address: SocketAddr) -> Option<Member> {
        let accused = |member: &&Member| member.peer_address == address && member.status != MemberStatus::Alive;
        self.others().find(accused).cloned()
    }

    /// The updates that were carried along least often so far.
    fn take_updates(&mut self) -> Vec<Member> {
        let mut waiting: Vec<(u32, NodeId)> = self
            .members
            .iter()
            .filter(|(_, known)| known.transmissions_left > 0)
            .map(|(id, known)| (known.transmissions_left, *id))
            .collect();
        waiting.sort_unstable_by(|left, right| right.cmp(left));
        waiting.truncate(self.settings.updates_per_message);
        let mut updates = Vec::new();
        for (_, id) in waiting {
            if let Some(known) = self.members.get_mut(&id) {
                known.transmissions_left -= 1;
                updates.push(known.member.clone());
            }
        }
        updates
    }
}
