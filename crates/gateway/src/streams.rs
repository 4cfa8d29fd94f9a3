//! The origins of streams: this node's directory, and the exchange with the storage nodes.
//!
//! [`stallmoor_core::serving::stream_origins`] decides which nodes store an origin, when it has to be sent to them, and
//! whether a stream may be resumed. Gateways send and request origins; storage nodes answer.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::{GroupAnswerBody, GroupRequestBody};
use stallmoor_core::serving::stream_origins::directory::RecordedOrigin;
use stallmoor_core::serving::stream_origins::holders::{COPIES, holders, lookup_quorum};
use stallmoor_core::serving::stream_origins::message::{OriginRecord, OriginsAnswer, OriginsRequest};
use stallmoor_core::serving::stream_origins::sharing::{Sharing, is_deducible};
use stallmoor_core::serving::stream_origins::unconfirmed::{Contradiction, UnconfirmedOrigin, UnconfirmedOrigins};
use stallmoor_core::serving::stream_origins::{
    Confirmation, Decision, Informant, NodeKnowledge, OriginDirectory, OriginOutbox, Resumption, Statement, StreamKey,
    StreamOrigin, UnknownOrigin, resume_rule,
};
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::serving::workers::versions::KnownVersions;
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::fleet::confirmation;
use crate::fleet::fleet_view::FleetView;
use crate::fleet::metadata_view::MetadataView;
use crate::peers::peer_link::{PeerCallError, PeerLinks, PeerRequest};

/// Maximum time to wait for a storage node's answer to a lookup, which a caller waits for.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time to wait for a storage node to confirm origins before they are sent to another one.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time to wait for storage nodes to confirm the origin of a stream whose first event is held.
const FIRST_STORE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which storage nodes that did not confirm it in time are tried again.
const FIRST_STORE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a node that did not answer is avoided while enough others respond.
const AVOIDANCE: Millis = Millis(2_000);
/// Time for which a node that closed the connection on a request that earlier versions do not know is not sent it.
const LEGACY_PERIOD: Millis = Millis(5_000);
/// Key by which the storage nodes are chosen for a stream that its client does not name.
const UNNAMED: StreamKey = StreamKey(0);
/// Interval at which departed workers are evicted, whose versions count until then.
const EVICTION_INTERVAL: Duration = Duration::from_millis(1_000);

impl PeerRequest for OriginsRequest {
    type Answer = OriginsAnswer;

    fn into_body(self) -> GroupRequestBody {
        GroupRequestBody::Origins(self)
    }

    fn answer_from_body(body: GroupAnswerBody) -> Option<OriginsAnswer> {
        if let GroupAnswerBody::Origins(answer) = body { Some(answer) } else { None }
    }
}

/// The origins of streams that this node knows, and its connections to the storage nodes that know others.
pub struct StreamOrigins {
    id: NodeId,
    view: Arc<FleetView>,
    metadata: Arc<MetadataView>,
    links: PeerLinks,
    directory: Mutex<OriginDirectory>,
    outbox: Mutex<OriginOutbox>,
    unconfirmed: Mutex<UnconfirmedOrigins>,
    /// Notified when the outbox has origins to send.
    due: Notify,
    /// Nodes that did not answer, with the time until which they are avoided.
    avoided: Mutex<BTreeMap<NodeId, Timestamp>>,
    /// Nodes that do not know [`OriginsRequest::FindConfirmed`], with the time until which they are not sent it.
    legacy: Mutex<BTreeMap<NodeId, Timestamp>>,
}

/// The decision on a stream that its client resumes, with what it rests on.
pub struct Resolved {
    /// Where the stream is resumed.
    pub resumption: Resumption,
    /// Name of what the decision rests on.
    pub basis: &'static str,
    /// The node whose knowledge decided, if any.
    pub informant: Option<NodeId>,
    /// Time since this node's view of the workers was last confirmed; `None` before the first complete view.
    pub view_age: Option<Millis>,
}

impl StreamOrigins {
    /// Creates an empty directory for the node `id`.
    pub fn new(view: Arc<FleetView>, metadata: Arc<MetadataView>, id: NodeId) -> Self {
        Self {
            id,
            view,
            metadata,
            links: PeerLinks::new(id),
            directory: Mutex::default(),
            outbox: Mutex::default(),
            unconfirmed: Mutex::default(),
            due: Notify::new(),
            avoided: Mutex::default(),
            legacy: Mutex::default(),
        }
    }

    /// Records the origin of a stream that lasts for at most `lifetime`, by the record of `worker`, which has sent the
    /// first event. Stores it at storage nodes first if the event must not be forwarded before.
    pub async fn record(
        self: &Arc<Self>,
        key: StreamKey,
        origin: &StreamOrigin,
        lifetime: Millis,
        worker: &WorkerId,
    ) -> Sharing {
        let now = self.view.clock.now();
        lock(&self.directory).record(key, origin, now);
        let record = OriginRecord { key, origin: origin.clone() };
        let unconfirmed = UnconfirmedOrigin { record: record.clone(), lifetime, worker: worker.clone(), began_at: now };
        lock(&self.unconfirmed).add(unconfirmed);
        let sharing = self.sharing(&record, lifetime);
        if sharing == Sharing::BeforeFirstEvent && self.store_first(&record).await {
            return sharing;
        }
        lock(&self.outbox).add(record, lifetime, now);
        if sharing != Sharing::Deducible {
            self.due.notify_one();
        }
        sharing
    }

    fn sharing(&self, record: &OriginRecord, lifetime: Millis) -> Sharing {
        let StreamOrigin { service, version } = &record.origin;
        let versions = self.known_versions(service);
        let known_for = self.view.workers().version_known_for(service, version, self.view.clock.now());
        Sharing::of(&versions, known_for, lifetime)
    }

    /// Stores an origin at as many storage nodes as a lookup relies on; the others may follow. Returns false once other
    /// nodes know the version by the records of its workers, or if there are no storage nodes.
    async fn store_first(self: &Arc<Self>, record: &OriginRecord) -> bool {
        let StreamOrigin { service, version } = &record.origin;
        let (mut stores, mut confirmed) = (JoinSet::new(), BTreeSet::new());
        loop {
            let holders: BTreeSet<NodeId> =
                holders(record.key, &self.view.storage()).into_iter().map(|holder| holder.node).collect();
            let copies = COPIES.min(holders.len());
            if copies == 0 {
                return false;
            }
            for holder in self.responsive_holders(record.key, copies) {
                if !confirmed.contains(&holder.node) {
                    stores.spawn(self.clone().store_copy(holder, record.clone()));
                }
            }
            // Those that confirm it later count for the next attempt.
            let confirming = async {
                while confirmed.intersection(&holders).count() < copies {
                    match stores.join_next().await {
                        Some(stored) => confirmed.extend(stored.ok().flatten()),
                        None => return,
                    }
                }
            };
            let _ = tokio::time::timeout(FIRST_STORE_TIMEOUT, confirming).await;
            if confirmed.intersection(&holders).count() >= copies {
                stores.detach_all();
                return true;
            }
            let known_for = self.view.workers().version_known_for(service, version, self.view.clock.now());
            if !Sharing::is_new(known_for) {
                stores.detach_all();
                return false;
            }
            tokio::time::sleep(FIRST_STORE_RETRY_DELAY).await;
        }
    }

    /// Sends an origin to a storage node. Returns the node once it has confirmed it.
    async fn store_copy(self: Arc<Self>, holder: Holder, record: OriginRecord) -> Option<NodeId> {
        let is_stored = self.send(holder, vec![record]).await;
        if !is_stored {
            self.avoid(holder);
        }
        is_stored.then_some(holder.node)
    }

    /// Marks the streams as conflicting whose origin is contradicted by the present record of the worker that began them.
    fn review_unconfirmed(&self) {
        let now = self.view.clock.now();
        let Some(age) = self.metadata.observation().age else { return };
        let contradicted = {
            let workers = self.view.workers();
            lock(&self.unconfirmed).take_contradicted(|id| workers.record(id), now - age)
        };
        for Contradiction { recorded, present } in contradicted {
            let UnconfirmedOrigin { record, lifetime, .. } = recorded;
            // Both are sent, so that nodes that know neither do not take one for the origin.
            for origin in [record.origin, present] {
                let record = OriginRecord { key: record.key, origin };
                lock(&self.directory).record(record.key, &record.origin, now);
                lock(&self.outbox).add(record, lifetime, now);
            }
            self.due.notify_one();
        }
    }

    /// Returns whether records of a stream contradict each other, so that no worker may go on with it.
    pub fn is_conflicting(&self, key: StreamKey) -> bool {
        self.review_unconfirmed();
        lock(&self.directory).look_up(key, self.view.clock.now()) == Some(RecordedOrigin::Conflicting)
    }

    /// Returns whether other nodes can deduce the origin of a stream of this service.
    fn is_deducible(&self, record: &OriginRecord, lifetime: Millis) -> bool {
        is_deducible(&self.known_versions(&record.origin.service), lifetime)
    }

    /// Returns what this node has observed of the versions of a service's workers.
    pub fn known_versions(&self, service: &str) -> KnownVersions {
        let observation = self.metadata.observation();
        self.view.workers().known_versions(service, self.view.clock.now()).observed(&observation)
    }

    /// Stores origins that a gateway sent, or returns what this node knows of a stream.
    pub async fn answer(&self, request: OriginsRequest) -> OriginsAnswer {
        match request {
            OriginsRequest::Store(records) => {
                let now = self.view.clock.now();
                let mut directory = lock(&self.directory);
                for OriginRecord { key, origin } in records {
                    directory.record(key, &origin, now);
                }
                OriginsAnswer::Stored
            }
            OriginsRequest::Find { key, service } => OriginsAnswer::Found(self.knowledge(key, &service)),
            OriginsRequest::FindConfirmed { key, service } => {
                OriginsAnswer::Stated(self.confirmed_statement(key, &service).await)
            }
        }
    }

    /// Returns what this node knows of a stream. Confirms its view of the workers first if the decision may rest on it.
    async fn confirmed_statement(&self, key: Option<StreamKey>, service: &str) -> Statement {
        let known = self.knowledge(key, service);
        if !known.origin.is_unknown() || !matches!(known.versions, KnownVersions::Sole { .. }) {
            return Statement { known, confirmation: Confirmation::Before };
        }
        let is_confirmed = confirmation::confirm(&self.view, &self.metadata).await;
        // Records and changes of the workers may have arrived meanwhile.
        let known = self.knowledge(key, service);
        Statement { known, confirmation: if is_confirmed { Confirmation::After } else { Confirmation::Before } }
    }

    /// Decides where a stream may be resumed. Asks storage nodes if this node does not know its origin.
    pub async fn resolve(
        self: &Arc<Self>,
        key: Option<StreamKey>,
        service: &Arc<str>,
        lifetime: Millis,
        remaining: Millis,
    ) -> Resolved {
        let statement = || Statement { known: self.knowledge(key, service), confirmation: Confirmation::Before };
        let (mut nodes, mut answers) = (Vec::new(), Vec::new());
        let holder_count = holders(key.unwrap_or(UNNAMED), &self.view.storage()).len();
        let own = statement();
        let mut decision = resume_rule(service, &own, &answers, holder_count, lifetime);
        if !own.known.origin.is_unknown() {
            return self.resolved(decision, &nodes);
        }
        let (began_at, remaining) = (Instant::now(), Duration::from_millis(remaining.0));
        let timeout = FIND_TIMEOUT.min(remaining / 2);
        let mut asked = self.ask(key, service, holder_count, timeout);
        while let Some(answer) = asked.join_next().await {
            let Ok(Some((node, answer))) = answer else { continue };
            let is_recorded = !answer.known.origin.is_unknown();
            nodes.push(node);
            answers.push(answer);
            decision = resume_rule(service, &statement(), &answers, holder_count, lifetime);
            // Fewer answers may all lack the record, which may name another service.
            let is_unrecorded = answers.len() >= lookup_quorum(holder_count);
            if is_recorded || (is_unrecorded && matches!(decision.resumption, Resumption::At(_))) {
                break;
            }
        }
        if decision.resumption == Resumption::Refused(UnknownOrigin::UncertainPast) {
            let left = remaining.saturating_sub(began_at.elapsed());
            let confirmed = tokio::time::timeout(left / 2, self.confirmed_statement(key, service)).await;
            let own = confirmed.unwrap_or_else(|_| statement());
            decision = resume_rule(service, &own, &answers, holder_count, lifetime);
        }
        if let (Resumption::At(origin), Some(key)) = (&decision.resumption, key) {
            lock(&self.directory).record(key, origin, self.view.clock.now());
        }
        self.resolved(decision, &nodes)
    }

    /// Names the node whose knowledge decided; `nodes` gave the answers.
    fn resolved(&self, decision: Decision, nodes: &[NodeId]) -> Resolved {
        let Decision { resumption, basis } = decision;
        let informant = basis.informant().and_then(|informant| match informant {
            Informant::Own => Some(self.id),
            Informant::Answer(index) => nodes.get(index).copied(),
        });
        let view_age = self.metadata.observation().age;
        Resolved { resumption, basis: basis.name(), informant, view_age }
    }

    fn knowledge(&self, key: Option<StreamKey>, service: &str) -> NodeKnowledge {
        let now = self.view.clock.now();
        let recorded = key.and_then(|key| lock(&self.directory).look_up(key, now));
        NodeKnowledge { origin: recorded.into(), versions: self.known_versions(service) }
    }

    /// Asks the storage nodes that may have stored a stream's origin, `holder_count` in all.
    fn ask(
        self: &Arc<Self>,
        key: Option<StreamKey>,
        service: &Arc<str>,
        holder_count: usize,
        timeout: Duration,
    ) -> JoinSet<Option<(NodeId, Statement)>> {
        let mut asked = JoinSet::new();
        for holder in self.responsive_holders(key.unwrap_or(UNNAMED), lookup_quorum(holder_count)) {
            let (origins, service) = (self.clone(), service.clone());
            asked.spawn(async move {
                let statement = origins.ask_holder(holder, key, &service, timeout).await;
                if statement.is_none() {
                    origins.avoid(holder);
                }
                statement.map(|statement| (holder.node, statement))
            });
        }
        asked
    }

    /// Asks a storage node. One of an earlier version closes the connection on a request that it does not know, and is
    /// asked for what it knows without a confirmation.
    async fn ask_holder(
        &self,
        holder: Holder,
        key: Option<StreamKey>,
        service: &Arc<str>,
        timeout: Duration,
    ) -> Option<Statement> {
        let asked_at = Instant::now();
        if !self.is_legacy(holder.node) {
            let request = OriginsRequest::FindConfirmed { key, service: service.clone() };
            match self.links.send_request(holder.address, request, timeout).await {
                Ok(OriginsAnswer::Stated(statement)) => return Some(statement),
                Err(PeerCallError::NoAnswer) => {}
                _ => return None,
            }
        }
        let left = timeout.checked_sub(asked_at.elapsed()).filter(|left| !left.is_zero())?;
        let request = OriginsRequest::Find { key, service: service.clone() };
        let Ok(OriginsAnswer::Found(known)) = self.links.send_request(holder.address, request, left).await else {
            return None;
        };
        let now = self.view.clock.now();
        lock(&self.legacy).entry(holder.node).or_insert(now + LEGACY_PERIOD);
        Some(Statement { known, confirmation: Confirmation::Before })
    }

    fn is_legacy(&self, node: NodeId) -> bool {
        let now = self.view.clock.now();
        let mut legacy = lock(&self.legacy);
        legacy.retain(|_, until| *until > now);
        legacy.contains_key(&node)
    }

    fn avoid(&self, holder: Holder) {
        let now = self.view.clock.now();
        let mut avoided = lock(&self.avoided);
        avoided.retain(|_, until| *until > now);
        avoided.insert(holder.node, now + AVOIDANCE);
    }

    /// Returns the storage nodes that may store a stream's origin, without those that are avoided as long as `needed` others
    /// remain.
    fn responsive_holders(&self, key: StreamKey, needed: usize) -> Vec<Holder> {
        let storage = self.view.storage();
        let all = holders(key, &storage);
        let now = self.view.clock.now();
        let avoided = lock(&self.avoided);
        let is_responsive = |node: NodeId| avoided.get(&node).is_none_or(|until| *until <= now);
        let all = all.into_iter().map(|record| Holder { node: record.node, address: record.address });
        let (mut responsive, others): (Vec<_>, Vec<_>) = all.partition(|holder| is_responsive(holder.node));
        if responsive.len() < needed {
            responsive.extend(others);
        }
        responsive
    }

    /// Sends the origins that others cannot deduce to storage nodes, until the process ends.
    pub async fn share(self: Arc<Self>) {
        let mut changes = self.view.changes();
        let mut evictions = tokio::time::interval(EVICTION_INTERVAL);
        loop {
            tokio::select! {
                () = self.due.notified() => {}
                // The view, which this node owns, is never dropped.
                _ = changes.changed() => {}
                _ = evictions.tick() => self.view.workers().evict_departed(self.view.clock.now()),
            }
            self.review_unconfirmed();
            let now = self.view.clock.now();
            let due = lock(&self.outbox).take_due(|record, lifetime| self.is_deducible(record, lifetime), now);
            for (holder, records) in self.by_holder(due) {
                tokio::spawn(self.clone().store(holder, records));
            }
        }
    }

    /// Groups origins by the storage nodes that store them.
    fn by_holder(&self, records: Vec<OriginRecord>) -> BTreeMap<Holder, Vec<OriginRecord>> {
        let mut groups: BTreeMap<Holder, Vec<OriginRecord>> = BTreeMap::new();
        for record in records {
            for holder in self.responsive_holders(record.key, 1).into_iter().take(COPIES) {
                groups.entry(holder).or_default().push(record.clone());
            }
        }
        groups
    }

    /// Sends origins to a storage node, and to another one if it does not answer. Returns whether they are stored.
    async fn store(self: Arc<Self>, holder: Holder, records: Vec<OriginRecord>) -> bool {
        if self.send(holder, records.clone()).await {
            return true;
        }
        self.avoid(holder);
        let mut is_stored = false;
        for (other, records) in self.by_holder(records) {
            if other != holder {
                is_stored |= self.send(other, records).await;
            }
        }
        is_stored
    }

    async fn send(&self, holder: Holder, records: Vec<OriginRecord>) -> bool {
        let answer = self.links.send_request(holder.address, OriginsRequest::Store(records), STORE_TIMEOUT).await;
        answer == Ok(OriginsAnswer::Stored)
    }
}

/// A storage node that stores origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Holder {
    node: NodeId,
    address: SocketAddr,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
