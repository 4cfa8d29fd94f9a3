//! Nodes, their relays and the store, on a virtual clock in milliseconds.

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
use stallmoor_core::serving::workers::{SoftwareVersion, WorkerId, WorkerQuery, WorkerRecord, WorkerTable};
use stallmoor_core::time::{Millis, Timestamp};

pub const BOUNDS: WatchBounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
/// Number of nodes in the root tier, which watch the store.
pub const ROOTS: usize = 4;
/// Number of forwarders, which follow the roots by index in a fleet with two tiers.
pub const FORWARDERS: usize = 3;
/// Default number of nodes.
pub const NODES: usize = 12;
/// Step of the clock.
const STEP: u64 = 5;
/// One-way delay between two nodes, or a node and the store.
const ONE_WAY_DELAY: u64 = 5;
/// Timeout of a list.
const CALL_TIMEOUT: u64 = 1_000;
/// Time by which the timeout of a watch exceeds its wait.
const WATCH_MARGIN: u64 = 700;
/// Interval between checks of the workers that a node uses.
const WORKER_CHECK_INTERVAL: u64 = 50;
/// Time after its departure for which a worker is included in the checks.
const WORKER_CHECK_WINDOW: u64 = 15_000;

#[derive(Clone, Copy, Debug)]
enum Call {
    List,
    Watch { since: u64, wait: u64 },
    Query { relay: usize, since: u64, hold: u64, timeout: u64 },
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: Call,
    started_at: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The process does not run before this time.
    pub frozen_until: u64,
    /// The store refuses its calls before this time.
    pub refused_until: u64,
    /// The store does not answer its calls before this time.
    pub unresponsive_until: u64,
    /// Other nodes cannot reach it before this time.
    pub unreachable_until: u64,
}

pub struct Node {
    policy: WatchPolicy,
    mirror: Mirror,
    /// Each worker has a service of its own, so that it is chosen whenever it is usable.
    workers: WorkerTable,
    last_request_at: Option<Timestamp>,
    pending: Option<PendingCall>,
    paused_until: u64,
    pub faults: Faults,
    /// Time since which it runs and can reach the store.
    connected_since: u64,
    pub store_calls: u64,
}

pub struct World {
    pub now: u64,
    revision: u64,
    /// Time at which each revision was written.
    written_at: Vec<u64>,
    /// Revision of each existing worker record.
    records: BTreeMap<Arc<str>, u64>,
    history: Vec<MetadataItem>,
    /// Revision up to which the store has dropped its history.
    history_dropped_to: u64,
    /// Workers whose records were removed, and the time of removal.
    departed: Vec<(Arc<str>, u64)>,
    pub nodes: Vec<Node>,
    pub random: Xoshiro256PlusPlus,
    pub worst_lag: u64,
    /// Whether there is a tier of forwarders.
    has_forwarders: bool,
    /// Whether the workers that nodes may use are checked.
    checks_workers: bool,
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
            history_dropped_to: 0,
            departed: Vec::new(),
            nodes,
            random,
            worst_lag: 0,
            has_forwarders: false,
            checks_workers: false,
        }
    }

    /// Adds a worker or removes the oldest one.
    pub fn write(&mut self) {
        self.revision += 1;
        self.written_at.push(self.now);
        let departing = self.records.iter().min_by_key(|(_, revision)| **revision).map(|(key, _)| key.clone());
        let departing = departing.filter(|_| self.records.len() > 3 && self.random.random::<f64>() < 0.6);
        let (key, state) = match departing {
            Some(key) => (key, KeyState::Removed),
            None => (Arc::from(format!("worker-{}", self.revision)), KeyState::Present(Arc::from([]))),
        };
        if state == KeyState::Removed {
            self.records.remove(&key);
            self.departed.push((key.clone(), self.now));
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

    /// Enables the check of the workers that nodes may use.
    pub fn with_worker_checks(mut self) -> Self {
        self.checks_workers = true;
        self
    }

    pub fn with_forwarders(mut self) -> Self {
        self.has_forwarders = true;
        let forwarders = &mut self.nodes[ROOTS..ROOTS + FORWARDERS];
        forwarders.iter_mut().for_each(|node| node.policy.set_tier(RelayTier::Forwarder));
        self
    }

    /// Drops the store's history: a watch from an earlier revision must be replaced by a list.
    pub fn drop_history(&mut self) {
        self.history_dropped_to = self.revision;
    }

    /// Restarts a node without its state after a downtime.
    pub fn restart(&mut self, node: usize, down: u64) {
        self.nodes[node] = Node { connected_since: self.now, ..Node::default() };
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
        self.now >= faults.refused_until && self.now >= faults.unresponsive_until
    }

    fn view(&self, node: usize) -> ViewState {
        let Node { mirror, last_request_at, .. } = &self.nodes[node];
        let now = at(self.now);
        ViewState { now, at: mirror.at(), age: mirror.age(now), last_request_at: *last_request_at }
    }

    /// Returns the relays of a node in the order in which it queries them. With forwarders, all other nodes query
    /// those, each starting with a different one.
    fn relays_of(&self, node: usize) -> Vec<NodeId> {
        let roots = (0..ROOTS).filter(|relay| *relay != node);
        if !self.has_forwarders || node < ROOTS + FORWARDERS {
            return roots.map(id).collect();
        }
        let forwarders = (0..FORWARDERS).map(|index| ROOTS + (index + node) % FORWARDERS);
        forwarders.take(2).chain(roots).map(id).collect()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for node in 0..self.nodes.len() {
            if self.now < self.nodes[node].faults.frozen_until {
                self.nodes[node].connected_since = self.now;
                continue;
            }
            if !self.has_store(node) {
                self.nodes[node].connected_since = self.now;
            }
            self.resolve_call(node);
            if self.nodes[node].pending.is_none() && self.now >= self.nodes[node].paused_until {
                self.start_call(node);
            }
            self.check(node);
        }
    }

    fn start_call(&mut self, node: usize) {
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
            WatchStep::QueryRelay { relay, hold, timeout } => {
                // Without a view, everything since the beginning is requested.
                let since = view.at.unwrap_or_default().0;
                Call::Query { relay: relay.0 as usize - 1, since, hold: hold.0, timeout: timeout.0 }
            }
        };
        if !matches!(call, Call::Query { .. }) {
            self.nodes[node].store_calls += 1;
        }
        self.nodes[node].pending = Some(PendingCall { call, started_at: self.now });
    }

    fn resolve_call(&mut self, node: usize) {
        let Some(PendingCall { call, started_at }) = self.nodes[node].pending else { return };
        let elapsed = self.now - started_at;
        if elapsed < 2 * ONE_WAY_DELAY {
            return;
        }
        let done = match call {
            Call::List => self.resolve_store(node, started_at, None),
            Call::Watch { since, wait } => self.resolve_store(node, started_at, Some((since, wait))),
            Call::Query { relay, since, hold, timeout } => {
                self.resolve_query(node, started_at, relay, since, hold, timeout)
            }
        };
        let may_abandon = !matches!(call, Call::List) && self.role(node) == WatchRole::Relay;
        let was_queried = self.nodes[node].last_request_at.is_some_and(|requested| requested > at(started_at));
        // A node that becomes a relay abandons a call that may take much longer to complete.
        let becomes_relay = was_queried && matches!(call, Call::Query { .. });
        if done || (may_abandon && becomes_relay) {
            self.nodes[node].pending = None;
        }
    }

    fn role(&self, node: usize) -> WatchRole {
        self.nodes[node].policy.role(self.view(node), &self.relays_of(node))
    }

    fn resolve_store(&mut self, node: usize, started_at: u64, watch: Option<(u64, u64)>) -> bool {
        let (now, revision, role) = (self.now, self.revision, self.role(node));
        let elapsed = now - started_at;
        let timeout = watch.map_or(CALL_TIMEOUT, |(_, wait)| wait + WATCH_MARGIN);
        let wait = watch.map_or(0, |(_, wait)| wait);
        let (listed, changes) = (self.listed(), self.changes_after(watch.map_or(u64::MAX, |(since, _)| since)));
        let jitter = self.random.random::<f64>();
        let (has_store, view) = (self.has_store(node), self.view(node));
        let is_refused = now < self.nodes[node].faults.refused_until;
        let entry = &mut self.nodes[node];
        if !has_store {
            if !is_refused && elapsed < timeout {
                return false;
            }
            let call = FailedCall { started_at: at(started_at), failed_at: at(now), timed_out: !is_refused };
            entry.policy.record_store_failure(role, view, call, jitter);
            return true;
        }
        if watch.is_some_and(|(since, _)| since < self.history_dropped_to) {
            entry.policy.record_compacted_history();
            return true;
        }
        let has_changes = watch.is_none_or(|(since, _)| since < revision);
        if !has_changes && elapsed < wait + 2 * ONE_WAY_DELAY {
            return false;
        }
        let grace = entry.policy.record_grace(view);
        entry.policy.record_store_answer(at(now));
        let changed = match watch {
            None => entry.mirror.replace(listed, Revision(revision), grace.missing_keys()),
            Some(_) => entry.mirror.advance(changes, Revision(revision)),
        };
        entry.apply(&changed, &grace, at(now));
        entry.mirror.confirm(at(if has_changes { started_at } else { started_at + wait }));
        if has_changes && watch.is_some() {
            entry.paused_until = now + entry.policy.pause(role).0;
        }
        true
    }

    fn resolve_query(
        &mut self,
        node: usize,
        started_at: u64,
        relay: usize,
        since: u64,
        hold: u64,
        timeout: u64,
    ) -> bool {
        let now = self.now;
        let elapsed = now - started_at;
        let faults = self.nodes[relay].faults;
        if elapsed >= timeout {
            let has_view = self.view(node).at.is_some();
            let policy = &mut self.nodes[node].policy;
            if has_view {
                policy.record_relay_failure(id(relay), at(now))
            } else {
                policy.record_first_view_failure(id(relay), at(now))
            }
            return true;
        }
        if now < faults.frozen_until || now < faults.unreachable_until {
            return false;
        }
        if self.nodes[relay].last_request_at.is_none_or(|requested| requested < at(started_at)) {
            self.nodes[relay].last_request_at = Some(at(started_at + ONE_WAY_DELAY));
        }
        let Some(age) = self.nodes[relay].mirror.age(at(now)) else { return false };
        let relay_at = self.nodes[relay].mirror.at().expect("a view with an age has a revision");
        let has_changes = age < BOUNDS.max_relay_age() && relay_at.0 > since;
        if !has_changes && elapsed < hold + 2 * ONE_WAY_DELAY {
            return false;
        }
        let held = Millis(elapsed - 2 * ONE_WAY_DELAY);
        let away = self.nodes[relay].policy.outage_duration(at(now));
        let Some(changes) = self.nodes[relay].mirror.changes_since(Revision(since)) else { return false };
        let answer = ChangesAnswer { changes, age, away, held };
        let (view, role) = (self.view(node), self.role(node));
        let entry = &mut self.nodes[node];
        let grace = entry.policy.record_grace(view);
        match role {
            WatchRole::Relay => entry.policy.record_answer_to_relay(id(relay), &answer, at(now)),
            _ => entry.policy.record_relay_answer(id(relay), &answer, at(now)),
        };
        let ChangesAnswer { changes, .. } = answer;
        let changed = match changes.base {
            Some(_) => entry.mirror.advance(changes.items, changes.at),
            None => entry.mirror.replace(changes.items, changes.at, MissingKeys::Removed),
        };
        entry.apply(&changed, &grace, at(now));
        let confirmed = (at(started_at) + held).as_millis().saturating_sub(age.0);
        entry.mirror.confirm(Timestamp::from_millis(confirmed));
        true
    }

    fn check(&mut self, node: usize) {
        let entry = &self.nodes[node];
        let is_connected = self.now - entry.connected_since >= BOUNDS.contact.0;
        let known = entry.mirror.at().map_or(0, |at| at.0);
        let unknown_since = self.written_at.get(known as usize + 1).copied();
        let lag = unknown_since.map_or(0, |written| self.now - written);
        if is_connected {
            self.worst_lag = self.worst_lag.max(lag);
            assert!(lag <= BOUNDS.change.0, "node {node} has not seen a change {lag} ms after it, at {}", self.now);
            // The age of the view must not be less than the actual lag.
            let age = entry.mirror.age(at(self.now)).expect("a connected node has a view");
            assert!(lag <= age.0 + STEP, "node {node} reports an age of {age:?} for a view that lags by {lag} ms");
            if self.checks_workers && self.now.is_multiple_of(WORKER_CHECK_INTERVAL) {
                self.check_workers(node);
            }
        }
    }

    /// Asserts that a connected node sends nothing to workers that departed longer ago than the change bound.
    fn check_workers(&mut self, node: usize) {
        let now = self.now;
        let (workers, random) = (&self.nodes[node].workers, &mut self.random);
        let is_checked = |departed_at: u64| (BOUNDS.change.0 + 1..WORKER_CHECK_WINDOW).contains(&(now - departed_at));
        for (worker, departed_at) in self.departed.iter().filter(|(_, departed_at)| is_checked(*departed_at)) {
            let query = WorkerQuery {
                service: worker,
                zone: "zone",
                prefix: &[],
                prompt_tokens: 0,
                body_bytes: 0,
                tried: &[],
                regions: &AllowedRegions::Any,
                may_run_again: true,
                version: None,
            };
            let chosen = workers.choose(&query, at(now), random).map(|choice| choice.availability);
            assert_eq!(
                chosen,
                None,
                "node {node} sends requests to {worker}, which departed {} ms ago",
                now - departed_at
            );
        }
    }

    pub fn inject_fault(&mut self) {
        let (node, until) =
            (self.random.random_range(0..self.nodes.len()), self.now + self.random.random_range(200..9_000));
        let nodes = &mut self.nodes;
        match self.random.random_range(0..6) {
            0 => nodes[node].faults.frozen_until = until,
            1 => nodes[node].faults.refused_until = until,
            2 => nodes[node].faults.unresponsive_until = until,
            3 => nodes[node].faults.unreachable_until = until,
            // Nodes that relay changes fail more often than others.
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
            last_request_at: None,
            pending: None,
            paused_until: 0,
            faults: Faults::default(),
            connected_since: 0,
            store_calls: 0,
        }
    }
}

impl Node {
    /// Applies changes as a gateway does.
    fn apply(&mut self, changed: &[MetadataItem], grace: &RecordGrace, now: Timestamp) {
        for item in changed {
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
        version: SoftwareVersion::new("v1"),
    }
}
