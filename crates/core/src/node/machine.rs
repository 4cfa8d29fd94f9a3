//! The node's state, and the dispatch of events to the component that handles them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::batch_flow::BatchState;
use super::configuration_flow::ConfigurationState;
use super::control_flow::ControlState;
use super::discovery_flow::DiscoveryState;
use super::effect::Effect;
use super::engines_flow::EnginePolls;
use super::event::{CallerAnswer, CallerCall, Clock, Event, OperatorCall};
use super::founding_flow::BootstrapState;
use super::group_client::GroupClient;
use super::groups::GroupHost;
use super::key_value_flow::KeyValueState;
use super::online_flow::{OnlineState, refusal_before_mark};
use super::settings::NodeSettings;
use super::status::NodeCounters;
use super::status_flow::PendingFleetStatus;
use super::stopping::StopState;
use super::upload::JobUpload;
use crate::error::{ErrorKind, Refusal};
use crate::hashing::{hash_parts, rendezvous};
use crate::identity::{AttemptId, CallerId, EngineName, GroupId, NodeId};
use crate::log_event::LogEvent;
use crate::node::configuration::bundle::PartContents;
use crate::node::configuration::{ActiveConfiguration, ConfigurationReplica, FleetConfiguration, Manifest};
use crate::node::control::GroupDirectory;
use crate::node::membership::{Member, MemberStatus, Membership, MembershipEffect};
use crate::node::routing::EngineTable;
use crate::node::scheduling::Steward;
use crate::peer_message::{CreditMessage, PeerMessage};
use crate::replication::PersistedReplica;
use crate::time::Timestamp;

/// State that a storage node restores from disk at startup.
#[derive(Clone, Debug, Default)]
pub struct PersistedNode {
    /// The replica of each group that the node hosts.
    pub groups: BTreeMap<GroupId, PersistedReplica>,
    /// The latest configuration the node stored, if any.
    pub configuration: Option<(Manifest, PartContents)>,
}

/// State machine of one node. It performs no I/O: events go in, [`Effect`]s come out.
pub struct Node {
    pub(super) settings: NodeSettings,
    pub(super) clock: Clock,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) effects: Vec<Effect>,
    pub(super) membership: Membership,
    pub(super) configuration: ConfigurationReplica,
    pub(super) configuration_state: ConfigurationState,
    pub(super) key_value: KeyValueState,
    pub(super) directory: GroupDirectory,
    pub(super) bootstrap: BootstrapState,
    pub(super) discovery: DiscoveryState,
    pub(super) control: ControlState,
    pub(super) groups: GroupHost,
    pub(super) client: GroupClient,
    pub(super) engines: EngineTable,
    pub(super) polls: EnginePolls,
    pub(super) online: OnlineState,
    pub(super) uploads: BTreeMap<CallerId, JobUpload>,
    pub(super) batch: BatchState,
    pub(super) stewards: BTreeMap<EngineName, Steward>,
    pub(super) stopping: Option<StopState>,
    pub(super) counters: NodeCounters,
    pub(super) pending_fleet_statuses: BTreeMap<CallerId, PendingFleetStatus>,
    /// Messages from this node to itself, handled before the current event returns.
    loopback: VecDeque<PeerMessage>,
}

impl Node {
    /// Creates a node from its persisted state. All randomness is derived from `seed`.
    pub fn new(settings: NodeSettings, persisted: PersistedNode, clock: Clock, seed: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let own = Member {
            id: settings.id,
            incarnation: 1,
            status: MemberStatus::Alive,
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            zone: settings.zone.clone(),
            stores: settings.stores,
        };
        let membership = Membership::new(settings.membership, own, settings.seeds.clone(), clock.now, random.random());
        let groups = GroupHost::new(&settings, persisted.groups, clock.now, random.random());
        let mut node = Self {
            clock,
            effects: Vec::new(),
            membership,
            configuration: ConfigurationReplica::default(),
            configuration_state: ConfigurationState::new(clock.now),
            key_value: KeyValueState::new(clock.now),
            directory: GroupDirectory::default(),
            bootstrap: BootstrapState::new(clock.now),
            discovery: DiscoveryState::new(clock.now),
            control: ControlState::new(settings.id, clock.now),
            groups,
            client: GroupClient::new(random.random()),
            engines: EngineTable::default(),
            polls: EnginePolls::new(clock.now),
            online: OnlineState::default(),
            uploads: BTreeMap::new(),
            batch: BatchState::new(clock.now),
            stewards: BTreeMap::new(),
            stopping: None,
            counters: NodeCounters::default(),
            pending_fleet_statuses: BTreeMap::new(),
            loopback: VecDeque::new(),
            random,
            settings,
        };
        node.restore_configuration(persisted.configuration);
        node
    }

    /// Returns this node's ID.
    pub fn id(&self) -> NodeId {
        self.settings.id
    }

    /// Returns the active configuration revision, or 0 if there is none.
    pub fn configuration_revision(&self) -> u64 {
        self.configuration.revision()
    }

    /// Returns this node's estimate of the online load of each engine.
    pub fn estimated_loads(&self, now: Timestamp) -> impl Iterator<Item = (&EngineName, u32)> {
        self.engines.iter().map(move |(name, state)| (name, state.estimated_online(now)))
    }

    /// Handles an event and returns the effects to execute, in order.
    pub fn handle(&mut self, event: Event, clock: Clock) -> Vec<Effect> {
        self.clock = clock;
        self.dispatch(event);
        while let Some(message) = self.loopback.pop_front() {
            self.on_peer(message);
        }
        self.flush_results();
        self.flush_notices();
        while let Some(message) = self.loopback.pop_front() {
            self.on_peer(message);
        }
        self.apply_membership_effects();
        std::mem::take(&mut self.effects)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Peer(message) => self.on_peer(message),
            Event::KeyValue { call, outcome } => self.on_key_value(call, outcome),
            Event::Machines(machines) => self.on_machines(&machines),
            Event::EngineLoad { engine, report, cache } => self.on_engine_load(&engine, report, cache.as_ref()),
            Event::Ordered { engine, outcome } => self.on_ordered(&engine, outcome),
            Event::Stream { attempt, event } => self.on_stream(attempt, event),
            Event::Call { caller, call } => self.on_call(caller, call),
            Event::CallerDisconnected(caller) => self.on_caller_disconnected(caller),
            Event::Stop => self.begin_stop(),
        }
    }

    fn tick(&mut self) {
        self.membership.tick(self.clock.now);
        self.apply_membership_effects();
        self.tick_groups();
        self.tick_client();
        self.tick_configuration();
        self.tick_discovery();
        self.tick_bootstrap();
        self.tick_control();
        self.tick_engines();
        self.tick_online();
        self.tick_stewards();
        self.tick_batch();
        self.finish_fleet_statuses();
        self.tick_stop();
    }

    fn on_peer(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Membership(message) => {
                self.membership.step(message, self.clock.now);
                self.apply_membership_effects();
            }
            PeerMessage::Replication(message) => self.on_replication(message),
            PeerMessage::GroupRequest(request) => self.on_group_request(request),
            PeerMessage::GroupAnswer(answer) => self.on_group_answer(answer),
            PeerMessage::Configuration(message) => self.on_configuration_message(message),
            PeerMessage::Credit(message) => self.on_credit(message),
            PeerMessage::EnginesLeaving(facts) => self.on_engines_leaving(&facts),
            PeerMessage::DirectoryRequest { from } => self.on_directory_request(from),
            PeerMessage::DirectoryAnswer { group_count, entries } => self.on_directory_answer(group_count, entries),
            PeerMessage::StatusRequest { from, id } => {
                let status = self.status();
                self.send(from, PeerMessage::StatusAnswer { id, status });
            }
            PeerMessage::StatusAnswer { id, status } => self.on_status_answer(CallerId(id), status),
        }
    }

    fn on_credit(&mut self, message: CreditMessage) {
        match message {
            CreditMessage::OnlineNotice { engine, from, in_flight } => self.on_online_notice(&engine, from, in_flight),
            CreditMessage::Request { engine, from, wanted_streams } => {
                self.on_batch_request(&engine, from, wanted_streams)
            }
            CreditMessage::Grant { engine, limit, lifetime } => self.on_batch_grant(engine, limit, lifetime),
        }
    }

    fn on_call(&mut self, caller: CallerId, call: CallerCall) {
        if self.has_left() {
            let refusal = Refusal::new(ErrorKind::Stopping, "ask another node");
            let refusal = match &call {
                CallerCall::Online(call) => refusal_before_mark(call, refusal),
                _ => refusal,
            };
            self.answer(caller, CallerAnswer::Refused(refusal));
            return;
        }
        match call {
            CallerCall::Online(call) => self.on_online_call(caller, call),
            CallerCall::Batch(call) => self.on_batch_call(caller, call),
            CallerCall::Operator(call) => self.on_operator_call(caller, call),
        }
    }

    fn on_caller_disconnected(&mut self, caller: CallerId) {
        self.cancel_online_request(caller);
        self.uploads.remove(&caller);
        self.client.forget_caller(caller);
        self.pending_fleet_statuses.remove(&caller);
    }

    fn on_operator_call(&mut self, caller: CallerId, call: OperatorCall) {
        match call {
            OperatorCall::Apply { id, bundle, expected_revision } => {
                self.begin_apply(caller, id, bundle, expected_revision);
            }
            OperatorCall::ReadConfiguration => self.answer_configuration(caller),
            OperatorCall::FleetStatus => self.begin_fleet_status(caller),
            OperatorCall::NodeStatus => {
                let status = self.status();
                self.answer(caller, CallerAnswer::NodeStatus(status));
            }
            OperatorCall::Models => self.answer_models(caller),
            OperatorCall::Explain(id) => self.answer_explanation(caller, &id),
        }
    }

    // Helpers shared by the event handlers.

    /// Returns the active configuration.
    pub(super) fn fleet(&self) -> Option<Arc<FleetConfiguration>> {
        self.configuration.active().map(|active: &Arc<ActiveConfiguration>| active.fleet.clone())
    }

    /// Returns whether this node accepts requests.
    pub fn is_ready(&self) -> bool {
        self.stopping.is_none() && self.configuration.active().is_some() && self.directory.group_count() > 0
    }

    pub(super) fn log(&mut self, event: LogEvent, detail: impl Into<String>) {
        self.effects.push(Effect::Log { event, detail: detail.into() });
    }

    pub(super) fn answer(&mut self, caller: CallerId, answer: CallerAnswer) {
        self.effects.push(answer.to(caller));
    }

    pub(super) fn refuse(&mut self, caller: CallerId, kind: ErrorKind, detail: impl Into<String>) {
        self.answer(caller, CallerAnswer::Refused(Refusal::new(kind, detail)));
    }

    /// Sends a message to a node, which may be this node. Messages to unknown nodes are dropped.
    pub(super) fn send(&mut self, to: NodeId, message: PeerMessage) {
        if to == self.settings.id {
            self.loopback.push_back(message);
            return;
        }
        if let Some(address) = self.address_of(to) {
            self.effects.push(Effect::Send { to: address, message });
        }
    }

    /// Returns a node's peer address, unless the node is absent and a present node has taken over its address.
    pub(super) fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        let member = self.membership.member(node)?;
        let address = member.peer_address;
        let is_reused = !member.is_present() && self.membership.present().any(|other| other.peer_address == address);
        (!is_reused).then_some(address)
    }

    pub(super) fn new_attempt_id(&mut self) -> AttemptId {
        AttemptId(self.random.random())
    }

    /// Returns the node that allocates an engine's capacity. Nodes with the same membership view agree on it.
    pub(super) fn steward_of(&self, engine: &EngineName) -> NodeId {
        let key = hash_parts(&[b"steward", engine.0.as_bytes()]);
        let present = self.membership.present().map(|member| member.id);
        rendezvous(key, present, |node| node.0, 1).first().copied().unwrap_or(self.settings.id)
    }

    /// Returns whether this node is one of the `count` nodes that perform a duty for the fleet.
    pub(super) fn has_duty(&self, duty: &str, count: usize) -> bool {
        let key = hash_parts(&[b"duty", duty.as_bytes()]);
        let present = self.membership.present().map(|member| member.id);
        rendezvous(key, present, |node| node.0, count).contains(&self.settings.id)
    }

    fn apply_membership_effects(&mut self) {
        for effect in self.membership.take_effects() {
            match effect {
                MembershipEffect::Send { to, message } => {
                    self.effects.push(Effect::Send { to, message: PeerMessage::Membership(message) });
                }
                MembershipEffect::Changed { member } => self.on_member_changed(&member),
                MembershipEffect::PeerRevision { peer, revision } => self.on_peer_revision(peer, revision),
            }
        }
    }

    fn on_member_changed(&mut self, member: &Member) {
        let event = match member.status {
            MemberStatus::Alive => LogEvent::MemberJoined,
            MemberStatus::Suspect => LogEvent::MemberSuspected,
            MemberStatus::Dead => LogEvent::MemberDead,
            MemberStatus::Left => LogEvent::MemberLeft,
        };
        self.log(event, format!("{} at {} in zone {}", member.id, member.peer_address, member.zone));
        if member.status == MemberStatus::Alive {
            self.send_leaving_facts(member.id);
        }
    }
}
