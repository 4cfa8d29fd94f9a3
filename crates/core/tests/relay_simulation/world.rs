//! Nodes, their relays and the store, on a virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::message::ChangesAnswer;
use stallmoor_core::serving::relay::mirror::{Mirror, MissingKeys};
use stallmoor_core::serving::relay::outage::{FailedCall, RecordGrace};
use stallmoor_core::serving::relay::policy::{ViewState, WatchPolicy, WatchRole, WatchStep};
use stallmoor_core::serving::relay::tiers::RelayTier;
use stallmoor_core::serving::workers::{WorkerId, WorkerQuery, WorkerRecord, WorkerTable};
use stallmoor_core::time::{Millis, Timestamp};

pub const BOUNDS: WatchBounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
/// Nodes that take the store's changes from the store.
pub const ROOTS: usize = 4;
/// In a fleet with two tiers, the nodes after the roots.
pub const FORWARDERS: usize = 3;
/// All nodes, where a test asks for no other size.
pub const NODES: usize = 12;
/// A step of the clock.
const STEP: u64 = 5;
/// One way between two nodes, or a node and the store.
const WAY: u64 = 5;
/// A list that gets no answer ends after this long.
const CALL_TIMEOUT: u64 = 1_000;
/// A watch that gets no answer ends this long after its wait.
const WATCH_MARGIN: u64 = 700;
/// The time between two looks at the workers that a node uses.
const LOOK_INTERVAL: u64 = 50;
/// Workers that left are looked for this long.
const LOOKED_FOR: u64 = 15_000;

#[derive(Clone, Copy, Debug)]
enum Call {
    List,
    Watch { since: u64, wait: u64 },
    Ask { relay: usize, since: u64, hold: u64, timeout: u64 },
}

#[derive(Clone, Copy, Debug)]
struct Under {
    call: Call,
    begun: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The process stands still until then.
    pub frozen_until: u64,
    /// The store refuses its calls until then.
    pub refused_until: u64,
    /// The store does not answer its calls until then.
    pub silent_until: u64,
    /// No other node reaches it until then.
    pub unreached_until: u64,
}

pub struct Node {
    policy: WatchPolicy,
    mirror: Mirror,
    /// Each worker is of a service of its own, so that it must serve wherever it may.
    workers: WorkerTable,
    asked_at: Option<Timestamp>,
    under: Option<Under>,
    paused_until: u64,
    pub faults: Faults,
    /// It runs, and had a way to the store, since then.
    in_touch_since: u64,
    pub store_calls: u64,
}

pub struct World {
    pub now: u64,
    revision: u64,
    /// When each revision was written.
    written_at: Vec<u64>,
    /// The revision of each worker's record that stands.
    records: BTreeMap<Arc<str>, u64>,
    history: Vec<MetadataItem>,
    /// The store has dropped the changes up to this revision.
    dropped: u64,
    /// Workers that left, and when.
    left: Vec<(Arc<str>, u64)>,
    pub nodes: Vec<Node>,
    pub random: Xoshiro256PlusPlus,
    pub worst_lag: u64,
    /// Whether there are nodes that pass on what the relays know.
    has_forwarders: bool,
    /// Whether nodes are held to the workers that they may use.
    looks_at_workers: bool,
}

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn id(node: usize) -> NodeId {
    NodeId(node as u64 + 1)
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self::with_nodes(seed, NODES)
    }

    pub fn with_nodes(seed: u64, count: usize) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut nodes: Vec<Node> = (0..count).map(|_| Node::default()).collect();
        nodes[..ROOTS].iter_mut().for_each(|relay| relay.policy.set_tier(RelayTier::Root));
        Self {
            now: 0,
            revision: 1,
            written_at: vec![0, 0],
            records: BTreeMap::new(),
            history: Vec::new(),
            dropped: 0,
            left: Vec::new(),
            nodes,
            random,
            worst_lag: 0,
            has_forwarders: false,
            looks_at_workers: false,
        }
    }

    /// A worker comes, or the one that was there longest leaves.
    pub fn write(&mut self) {
        self.revision += 1;
        self.written_at.push(self.now);
        let leaving = self.records.iter().min_by_key(|(_, revision)| **revision).map(|(key, _)| key.clone());
        let leaving = leaving.filter(|_| self.records.len() > 3 && self.random.random::<f64>() < 0.6);
        let (key, state) = match leaving {
            Some(key) => (key, KeyState::Removed),
            None => (Arc::from(format!("worker-{}", self.revision)), KeyState::Present(Arc::from([]))),
        };
        if state == KeyState::Removed {
            self.records.remove(&key);
            self.left.push((key.clone(), self.now));
        } else {
            self.records.insert(key.clone(), self.revision);
        }
        self.history.push(MetadataItem { key, state, revision: Revision(self.revision) });
    }

    fn listed(&self) -> Vec<MetadataItem> {
        let present = |(key, revision): (&Arc<str>, &u64)| MetadataItem {
            key: key.clone(),
            state: KeyState::Present(Arc::from([])),
            revision: Revision(*revision),
        };
        self.records.iter().map(present).collect()
    }

    /// Nodes are held to the workers that they may use.
    pub fn looking_at_workers(mut self) -> Self {
        self.looks_at_workers = true;
        self
    }

    pub fn with_forwarders(mut self) -> Self {
        self.has_forwarders = true;
        let forwarders = &mut self.nodes[ROOTS..ROOTS + FORWARDERS];
        forwarders.iter_mut().for_each(|node| node.policy.set_tier(RelayTier::Forwarder));
        self
    }

    /// The store drops its history: who asks for changes since before now must list it.
    pub fn drop_history(&mut self) {
        self.dropped = self.revision;
    }

    /// A process ends and is back after a while, with nothing that it knew.
    pub fn restart(&mut self, node: usize, down: u64) {
        self.nodes[node] = Node { in_touch_since: self.now, ..Node::default() };
        self.nodes[node].faults.frozen_until = self.now + down;
        if node < ROOTS {
            self.nodes[node].policy.set_tier(RelayTier::Root);
        } else if self.has_forwarders && node < ROOTS + FORWARDERS {
            self.nodes[node].policy.set_tier(RelayTier::Forwarder);
        }
    }

    fn changes_after(&self, since: u64) -> Vec<MetadataItem> {
        self.history.iter().filter(|item| item.revision.0 > since).cloned().collect()
    }

    fn has_store(&self, node: usize) -> bool {
        let faults = self.nodes[node].faults;
        self.now >= faults.refused_until && self.now >= faults.silent_until
    }

    fn view(&self, node: usize) -> ViewState {
        let Node { mirror, asked_at, .. } = &self.nodes[node];
        let now = at(self.now);
        ViewState { now, at: mirror.at(), age: mirror.age(now), asked_at: *asked_at }
    }

    /// The relays of a node, in the order in which it asks them. Where there are forwarders, all other nodes ask those, and
    /// each of them a different one first.
    fn relays_of(&self, node: usize) -> Vec<NodeId> {
        let roots = (0..ROOTS).filter(|relay| *relay != node);
        if !self.has_forwarders || node < ROOTS + FORWARDERS {
            return roots.map(id).collect();
        }
        let own = (0..FORWARDERS).map(|place| ROOTS + (place + node) % FORWARDERS);
        own.take(2).chain(roots).map(id).collect()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for node in 0..self.nodes.len() {
            if self.now < self.nodes[node].faults.frozen_until {
                self.nodes[node].in_touch_since = self.now;
                continue;
            }
            if !self.has_store(node) {
                self.nodes[node].in_touch_since = self.now;
            }
            self.resolve(node);
            if self.nodes[node].under.is_none() && self.now >= self.nodes[node].paused_until {
                self.begin(node);
            }
            self.check(node);
        }
    }

    fn begin(&mut self, node: usize) {
        let (view, relays) = (self.view(node), self.relays_of(node));
        let call = match self.nodes[node].policy.next(view, &relays) {
            WatchStep::Wait(span) => {
                self.nodes[node].paused_until = self.now + span.0;
                return;
            }
            WatchStep::DiscoverRelays => {
                self.nodes[node].policy.relays_discovered(at(self.now));
                return;
            }
            WatchStep::ListStore => Call::List,
            WatchStep::WatchStore { since, wait } => Call::Watch { since: since.0, wait: wait.0 },
            WatchStep::AskRelay { relay, hold, timeout } => {
                // Without a view everything since the beginning is asked for.
                let since = view.at.unwrap_or_default().0;
                Call::Ask { relay: relay.0 as usize - 1, since, hold: hold.0, timeout: timeout.0 }
            }
        };
        if !matches!(call, Call::Ask { .. }) {
            self.nodes[node].store_calls += 1;
        }
        self.nodes[node].under = Some(Under { call, begun: self.now });
    }

    fn resolve(&mut self, node: usize) {
        let Some(Under { call, begun }) = self.nodes[node].under else { return };
        let passed = self.now - begun;
        if passed < 2 * WAY {
            return;
        }
        let done = match call {
            Call::List => self.resolve_store(node, begun, None),
            Call::Watch { since, wait } => self.resolve_store(node, begun, Some((since, wait))),
            Call::Ask { relay, since, hold, timeout } => self.resolve_ask(node, begun, relay, since, hold, timeout),
        };
        let may_break_off = !matches!(call, Call::List) && self.role(node) == WatchRole::Relay;
        let was_asked = self.nodes[node].asked_at.is_some_and(|asked| asked > at(begun));
        // A node that becomes a relay drops a call that may be answered long after that.
        let is_first_question = was_asked && matches!(call, Call::Ask { .. });
        if done || (may_break_off && is_first_question) {
            self.nodes[node].under = None;
        }
    }

    fn role(&self, node: usize) -> WatchRole {
        self.nodes[node].policy.role(self.view(node), &self.relays_of(node))
    }

    fn resolve_store(&mut self, node: usize, begun: u64, watch: Option<(u64, u64)>) -> bool {
        let (now, revision, role) = (self.now, self.revision, self.role(node));
        let passed = now - begun;
        let timeout = watch.map_or(CALL_TIMEOUT, |(_, wait)| wait + WATCH_MARGIN);
        let wait = watch.map_or(0, |(_, wait)| wait);
        let (listed, changes) = (self.listed(), self.changes_after(watch.map_or(u64::MAX, |(since, _)| since)));
        let spread = self.random.random::<f64>();
        let (has_store, view) = (self.has_store(node), self.view(node));
        let is_refused = now < self.nodes[node].faults.refused_until;
        let entry = &mut self.nodes[node];
        if !has_store {
            if !is_refused && passed < timeout {
                return false;
            }
            let call = FailedCall { begun: at(begun), ended: at(now), timed_out: !is_refused };
            entry.policy.store_failed(role, view, call, spread);
            return true;
        }
        if watch.is_some_and(|(since, _)| since < self.dropped) {
            entry.policy.history_dropped();
            return true;
        }
        let has_changes = watch.is_none_or(|(since, _)| since < revision);
        if !has_changes && passed < wait + 2 * WAY {
            return false;
        }
        let grace = entry.policy.record_grace(view);
        entry.policy.store_answered(at(now));
        let news = match watch {
            None => entry.mirror.replace(listed, Revision(revision), grace.missing_keys()),
            Some(_) => entry.mirror.advance(changes, Revision(revision)),
        };
        entry.tell(&news, &grace, at(now));
        entry.mirror.confirm(at(if has_changes { begun } else { begun + wait }));
        if has_changes && watch.is_some() {
            entry.paused_until = now + entry.policy.pause(role).0;
        }
        true
    }

    fn resolve_ask(&mut self, node: usize, begun: u64, relay: usize, since: u64, hold: u64, timeout: u64) -> bool {
        let now = self.now;
        let passed = now - begun;
        let faults = self.nodes[relay].faults;
        if passed >= timeout {
            let has_view = self.view(node).at.is_some();
            let policy = &mut self.nodes[node].policy;
            if has_view {
                policy.relay_failed(id(relay), at(now))
            } else {
                policy.first_view_failed(id(relay), at(now))
            }
            return true;
        }
        if now < faults.frozen_until || now < faults.unreached_until {
            return false;
        }
        if self.nodes[relay].asked_at.is_none_or(|asked| asked < at(begun)) {
            self.nodes[relay].asked_at = Some(at(begun + WAY));
        }
        let Some(age) = self.nodes[relay].mirror.age(at(now)) else { return false };
        let relay_at = self.nodes[relay].mirror.at().expect("it has an age");
        let has_news = age < BOUNDS.max_relay_age() && relay_at.0 > since;
        if !has_news && passed < hold + 2 * WAY {
            return false;
        }
        let held = Millis(passed - 2 * WAY);
        let away = self.nodes[relay].policy.away(at(now));
        let Some(changes) = self.nodes[relay].mirror.changes_since(Revision(since)) else { return false };
        let answer = ChangesAnswer { changes, age, away, held };
        let view = self.view(node);
        let entry = &mut self.nodes[node];
        let grace = entry.policy.record_grace(view);
        entry.policy.relay_answered(id(relay), &answer, at(now));
        let ChangesAnswer { changes, .. } = answer;
        let news = match changes.base {
            Some(_) => entry.mirror.advance(changes.items, changes.at),
            None => entry.mirror.replace(changes.items, changes.at, MissingKeys::Removed),
        };
        entry.tell(&news, &grace, at(now));
        let confirmed = (at(begun) + held).as_millis().saturating_sub(age.0);
        entry.mirror.confirm(Timestamp::from_millis(confirmed));
        true
    }

    fn check(&mut self, node: usize) {
        let entry = &self.nodes[node];
        let is_in_touch = self.now - entry.in_touch_since >= BOUNDS.contact.0;
        let known = entry.mirror.at().map_or(0, |at| at.0);
        let unknown_since = self.written_at.get(known as usize + 1).copied();
        let lag = unknown_since.map_or(0, |written| self.now - written);
        if is_in_touch {
            self.worst_lag = self.worst_lag.max(lag);
            assert!(lag <= BOUNDS.change.0, "node {node} does not know of a change {lag} ms after it, at {}", self.now);
            // The age that a node believes must never be less than the truth.
            let age = entry.mirror.age(at(self.now)).expect("it is in touch");
            assert!(lag <= age.0 + STEP, "node {node} believes its view to be {age:?} old, and it lags by {lag} ms");
            if self.looks_at_workers && self.now.is_multiple_of(LOOK_INTERVAL) {
                self.check_workers(node);
            }
        }
    }

    /// A node in touch sends nothing to workers that left longer ago than the change bound.
    fn check_workers(&mut self, node: usize) {
        let now = self.now;
        let (workers, random) = (&self.nodes[node].workers, &mut self.random);
        let is_looked_for = |left: u64| (BOUNDS.change.0 + 1..LOOKED_FOR).contains(&(now - left));
        for (worker, left) in self.left.iter().filter(|(_, left)| is_looked_for(*left)) {
            let ask = WorkerQuery {
                service: worker,
                zone: "zone",
                prefix: &[],
                prompt_tokens: 0,
                body_bytes: 0,
                tried: &[],
                regions: &AllowedRegions::Any,
            };
            let chosen = workers.choose(&ask, at(now), random).map(|choice| choice.availability);
            assert_eq!(chosen, None, "node {node} sends requests to {worker}, which left {} ms ago", now - left);
        }
    }

    pub fn fault(&mut self) {
        let (node, until) =
            (self.random.random_range(0..self.nodes.len()), self.now + self.random.random_range(200..9_000));
        let nodes = &mut self.nodes;
        match self.random.random_range(0..6) {
            0 => nodes[node].faults.frozen_until = until,
            1 => nodes[node].faults.refused_until = until,
            2 => nodes[node].faults.silent_until = until,
            3 => nodes[node].faults.unreached_until = until,
            // Those who pass changes on are struck more often than others.
            4 if self.has_forwarders => nodes[node % (ROOTS + FORWARDERS)].faults.frozen_until = until,
            4 => nodes[node % ROOTS].faults.frozen_until = until,
            _ => {
                let share = self.random.random::<f64>();
                for node in nodes {
                    if self.random.random::<f64>() < share {
                        node.faults.refused_until = until;
                    }
                }
            }
        }
    }
}

impl Default for Node {
    fn default() -> Self {
        Self {
            policy: WatchPolicy::new(BOUNDS),
            mirror: Mirror::default(),
            workers: WorkerTable::default(),
            asked_at: None,
            under: None,
            paused_until: 0,
            faults: Faults::default(),
            in_touch_since: 0,
            store_calls: 0,
        }
    }
}

impl Node {
    /// Applies news as a gateway does.
    fn tell(&mut self, news: &[MetadataItem], grace: &RecordGrace, now: Timestamp) {
        for item in news {
            let id = WorkerId(item.key.clone());
            match (&item.state, grace.expired_usable_until) {
                (KeyState::Present(_), _) => drop(self.workers.upsert(record(&item.key))),
                (KeyState::Lapsed, Some(until)) => drop(self.workers.mark_missing(&id, until, now)),
                _ => drop(self.workers.remove(&id, grace.removed_usable_until, now)),
            }
        }
    }
}

fn record(key: &Arc<str>) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(key.clone()),
        service: key.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Arc::from("zone"),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
    }
}
