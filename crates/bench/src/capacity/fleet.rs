//! Many nodes in one process on a virtual clock, with what they spend.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use stallmoor_core::configuration::{ApplyId, Bundle};
use stallmoor_core::identity::{CallerId, EngineName, NodeId};
use stallmoor_core::node::{
    CallerAnswer, CallerCall, Clock, Effect, EngineRequest, Event, KeyValueOperation, KeyValueOutcome, MachineReport,
    Node, NodeSettings, OperatorCall, PeerMessage, PersistedNode,
};
use stallmoor_core::replication::{EntryPayload, LogWrite};
use stallmoor_core::routing::LoadReport;
use stallmoor_core::time::{Timestamp, UnixMillis};

/// Time between two ticks, in milliseconds, as in a running node.
const TICK_MS: u64 = 25;
const MONOTONIC_START_MS: u64 = 3_600_000;
const CIVIL_START_MS: u64 = 1_700_000_000_000;
/// Zones.
const ZONES: usize = 5;

/// What was spent by kind of message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages sent.
    pub messages: u64,
    /// Their bytes on the wire.
    pub bytes: u64,
}

/// What the fleet spent.
#[derive(Clone, Debug, Default)]
pub struct Spending {
    /// Time in the decision code, of all nodes.
    pub busy: Duration,
    /// Messages by kind.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// Polls of engines.
    pub polls: u64,
    /// Calls to the key-value service.
    pub key_value_calls: u64,
    /// Bytes of commands written to disk.
    pub disk_bytes: u64,
    /// Writes to disk.
    pub disk_writes: u64,
}

impl Spending {
    /// Bytes of all messages.
    pub fn bytes(&self) -> u64 {
        self.traffic.values().map(|traffic| traffic.bytes).sum()
    }

    /// All messages.
    pub fn messages(&self) -> u64 {
        self.traffic.values().map(|traffic| traffic.messages).sum()
    }
}

/// Many nodes.
pub struct Fleet {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// What was spent since it was last reset.
    pub spending: Spending,
    /// Requests that nodes sent to engines and nobody has taken yet, with the sender.
    pub requests: Vec<(usize, EngineRequest)>,
    /// Nodes that are down.
    pub down: BTreeSet<usize>,
    /// The key-value service answers nothing.
    pub key_value_down: bool,
    /// Answers to callers, in order.
    pub answers: Vec<(CallerId, CallerAnswer)>,
    /// What the machine list says.
    pub machines: Vec<MachineReport>,
    seed: u64,
    by_address: BTreeMap<SocketAddr, usize>,
    now_ms: u64,
    inbox: VecDeque<(usize, Event)>,
    key_value: BTreeMap<String, (u64, Arc<str>)>,
    engines: usize,
}

fn address_of(place: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, (place >> 8) as u8, (place & 0xff) as u8)), 7_100)
}

impl Fleet {
    /// Starts `nodes` nodes, the first `stores` of which store, that know each other.
    pub fn start(nodes: usize, stores: usize, engines: usize) -> Self {
        Self::start_seeded(nodes, stores, engines, 0)
    }

    /// The same, with a seed that decides everything random.
    pub fn start_seeded(nodes: usize, stores: usize, engines: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            spending: Spending::default(),
            requests: Vec::new(),
            down: BTreeSet::new(),
            key_value_down: false,
            answers: Vec::new(),
            machines: Vec::new(),
            seed,
            by_address: BTreeMap::new(),
            now_ms: 0,
            inbox: VecDeque::new(),
            key_value: BTreeMap::new(),
            engines,
        };
        for place in 0..nodes {
            fleet.by_address.insert(address_of(place), place);
            let node = fleet.new_node(place, NodeId(place as u64 + 1), place < stores);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn new_node(&self, place: usize, id: NodeId, stores: bool) -> Node {
        let zone = format!("zone-{}", place % ZONES);
        let mut settings = NodeSettings::new(id, &zone, address_of(place), address_of(place));
        settings.seeds = vec![address_of(0), address_of(1), address_of(place / 2)];
        settings.stores = stores;
        settings.compact_bytes = usize::MAX;
        Node::new(settings, PersistedNode::default(), self.clock(), self.seed * 1_000 + id.0)
    }

    /// Replaces a storing node by one with a blank disk at the same address.
    pub fn replace_blank(&mut self, place: usize) {
        let id = NodeId(self.nodes[place].id().0 + 10_000);
        self.nodes[place] = self.new_node(place, id, true);
        self.down.remove(&place);
    }

    /// Virtual time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Runs until something holds, for at most `limit_ms`. Returns how long it took.
    pub fn run_until(&mut self, limit_ms: u64, mut holds: impl FnMut(&Fleet) -> bool) -> Option<u64> {
        let began = self.now_ms;
        while self.now_ms < began + limit_ms {
            self.run(TICK_MS);
            if holds(self) {
                return Some(self.now_ms - began);
            }
        }
        None
    }

    fn clock(&self) -> Clock {
        Clock {
            now: Timestamp::from_millis(MONOTONIC_START_MS + self.now_ms),
            civil: UnixMillis(CIVIL_START_MS + self.now_ms),
        }
    }

    /// Applies a configuration at node 0.
    pub fn apply(&mut self, bundle: Bundle) {
        let call = OperatorCall::Apply { id: ApplyId(self.now_ms + 1), bundle, expected_revision: None };
        self.feed(0, Event::Call { caller: CallerId(1), call: CallerCall::Operator(call) });
    }

    /// Runs for a while.
    pub fn run(&mut self, millis: u64) {
        let end = self.now_ms + millis;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            for node in 0..self.nodes.len() {
                self.feed(node, Event::Tick);
            }
            self.settle();
        }
    }

    /// Delivers everything under way.
    pub fn settle(&mut self) {
        while let Some((node, event)) = self.inbox.pop_front() {
            self.feed(node, event);
        }
    }

    /// Gives an event to a node and carries out what it wants.
    pub fn feed(&mut self, node: usize, event: Event) {
        if self.down.contains(&node) {
            return;
        }
        let clock = self.clock();
        let began = Instant::now();
        let effects = self.nodes[node].handle(event, clock);
        self.spending.busy += began.elapsed();
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let kind = kind_of(&message);
                let traffic = self.spending.traffic.entry(kind).or_default();
                traffic.messages += 1;
                traffic.bytes += stallmoor_wire::encode(&message).len() as u64;
                if let Some(target) = self.by_address.get(&to) {
                    self.inbox.push_back((*target, Event::Peer(message)));
                }
            }
            Effect::KeyValue { call, operation } => {
                self.spending.key_value_calls += 1;
                let outcome = self.call_key_value(operation);
                self.inbox.push_back((node, Event::KeyValue { call, outcome }));
            }
            Effect::PollEngine { engine, .. } => {
                self.spending.polls += 1;
                self.inbox.push_back((node, load_event(engine)));
            }
            Effect::Answer { caller, answer } => self.answers.push((caller, answer)),
            Effect::ReadMachines => self.inbox.push_back((node, Event::Machines(self.machines.clone()))),
            Effect::StartStream(request) => self.requests.push((node, request)),
            Effect::Persist { write, .. } => {
                self.spending.disk_writes += 1;
                self.spending.disk_bytes += bytes_of(&write);
            }
            _ => {}
        }
    }

    fn call_key_value(&mut self, operation: KeyValueOperation) -> KeyValueOutcome {
        if self.key_value_down {
            return KeyValueOutcome::NoAnswer;
        }
        match operation {
            KeyValueOperation::Get { key } => match self.key_value.get(&key) {
                Some((version, value)) => KeyValueOutcome::Value { version: *version, value: value.clone() },
                None => KeyValueOutcome::NotFound,
            },
            KeyValueOperation::CompareAndSwap { key, expected, value } => {
                let current = self.key_value.get(&key).map_or(0, |(version, _)| *version);
                if current != expected {
                    return KeyValueOutcome::VersionMismatch;
                }
                self.key_value.insert(key, (current + 1, Arc::from(value)));
                KeyValueOutcome::Written
            }
        }
    }

    /// A set of files for this fleet, with a number of tenants.
    pub fn bundle(&self, tenants: usize, replica_groups: usize) -> Bundle {
        let mut fleet = format!("[fleet]\nname = \"capacity\"\nreplica_groups = {replica_groups}\n");
        for zone in 0..ZONES {
            fleet.push_str(&format!("[[zone]]\nname = \"zone-{zone}\"\nregion = \"region-{}\"\n", zone % 2));
        }
        let mut services = String::new();
        for model in 0..MODELS {
            services.push_str(&format!(
                "[[service]]\nname = \"service-{model}\"\n[[model]]\nname = \"model-{model}\"\nservice = \"service-{model}\"\n"
            ));
        }
        let mut machines = String::new();
        for engine in 0..self.engines {
            machines.push_str(&format!(
                "[[machine]]\nname = \"engine-{engine}\"\naddress = \"10.9.{}.{}:8000\"\nzone = \"zone-{}\"\nservice = \"service-{}\"\n",
                engine >> 8,
                engine & 0xff,
                engine % ZONES,
                engine % MODELS
            ));
        }
        let mut files: BTreeMap<String, Arc<str>> = BTreeMap::new();
        files.insert("fleet.toml".to_owned(), Arc::from(fleet));
        files.insert("services.toml".to_owned(), Arc::from(services));
        files.insert("machines.toml".to_owned(), Arc::from(machines));
        for (name, text) in tenant_files(tenants) {
            files.insert(name, Arc::from(text));
        }
        Bundle { files }
    }

    /// How many nodes have a configuration in force.
    pub fn configured(&self) -> usize {
        self.nodes.iter().filter(|node| node.configuration_revision() > 0).count()
    }

    /// How many distinct nodes each node sees, at the least.
    pub fn least_seen(&self) -> usize {
        let counts: BTreeSet<usize> = self.nodes.iter().map(|node| node.status().members_present).collect();
        counts.first().copied().unwrap_or(0)
    }
}

/// Models in steady use.
pub const MODELS: usize = 18;
/// Tenants in one file, so that a change moves little.
const TENANTS_PER_FILE: usize = 100;

/// Tenants in files of a hundred.
pub fn tenant_files(tenants: usize) -> Vec<(String, String)> {
    let mut files = Vec::new();
    for first in (0..tenants).step_by(TENANTS_PER_FILE) {
        let last = (first + TENANTS_PER_FILE).min(tenants);
        let text = (first..last)
            .map(|tenant| {
                format!("[[tenant]]\nname = \"tenant-{tenant}\"\nrequests_in_flight = 32\nbatch_weight = 2\n")
            })
            .collect();
        files.push((format!("tenants-{first:06}.toml"), text));
    }
    files
}

fn load_event(engine: EngineName) -> Event {
    let report = LoadReport { incarnation: 1, slots: 16, running_online: 4, running_batch: 8, ..LoadReport::default() };
    Event::EngineLoad { engine, report: Some(report), cache: None }
}

fn bytes_of(write: &LogWrite) -> u64 {
    let entries = write.entries.iter().map(|entry| match &entry.payload {
        EntryPayload::Command(command) => command.len() as u64 + 24,
        _ => 32,
    });
    entries.sum()
}

fn kind_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Membership(_) => "membership",
        PeerMessage::Replication(_) => "replication",
        PeerMessage::GroupRequest(_) | PeerMessage::GroupAnswer(_) => "group requests",
        PeerMessage::Configuration(_) => "configuration",
        PeerMessage::Credit(_) => "credit",
        PeerMessage::EnginesLeaving(_) => "engines leaving",
        PeerMessage::DirectoryRequest { .. } | PeerMessage::DirectoryAnswer { .. } => "directory",
        PeerMessage::StatusRequest { .. } | PeerMessage::StatusAnswer { .. } => "status",
    }
}
