//! The origins of streams: this node's directory, and the exchange with the storage nodes.
//!
//! [`stallmoor_core::serving::stream_origins`] decides which nodes store an origin, when it has to be sent to them, and
//! whether a stream may be resumed. Gateways send and request origins; storage nodes answer.

mod holder_calls;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::{GroupAnswerBody, GroupRequestBody};
use stallmoor_core::serving::stream_origins::directory::RecordedOrigin;
use stallmoor_core::serving::stream_origins::holders::{holders, lookup_quorum};
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
use tokio::time::Instant;

use crate::fleet::confirmation;
use crate::fleet::fleet_view::FleetView;
use crate::fleet::metadata_view::MetadataView;
use crate::peers::peer_link::{PeerLinks, PeerRequest};

/// Maximum time to wait for a storage node's answer to a lookup, which a caller waits for.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);
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
            nodes.push(node);
            answers.push(answer);
            decision = resume_rule(service, &statement(), &answers, holder_count, lifetime);
            // Fewer answers may all lack a record, which may name another service, or one that contradicts those that
            // arrived.
            let is_heard = answers.len() >= lookup_quorum(holder_count);
            let refused = Resumption::Refused(UnknownOrigin::Conflicting);
            if is_heard && (matches!(decision.resumption, Resumption::At(_)) || decision.resumption == refused) {
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
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
