//! Calls to the storage nodes that hold the origins of streams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::stream_origins::directory::RecordedOrigin;
use stallmoor_core::serving::stream_origins::holders::{ASKED, COPIES, holders, lookup_quorum};
use stallmoor_core::serving::stream_origins::message::{OriginRecord, OriginsAnswer, OriginsRequest};
use stallmoor_core::serving::stream_origins::sharing::Sharing;
use stallmoor_core::serving::stream_origins::{Confirmation, Statement, StreamKey, StreamOrigin};
use stallmoor_core::time::Millis;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{StreamOrigins, UNNAMED, lock};
use crate::peers::peer_link::PeerCallError;

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

/// A storage node that stores origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Holder {
    pub(super) node: NodeId,
    address: SocketAddr,
}

impl StreamOrigins {
    /// Stores an origin at as many storage nodes as a lookup relies on; the others may follow. Returns false once other
    /// nodes know the version by the records of its workers, or if there are no storage nodes.
    pub(super) async fn store_first(self: &Arc<Self>, record: &OriginRecord) -> bool {
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

    /// Asks the storage nodes that may have stored a stream's origin, `holder_count` in all.
    pub(super) fn ask(
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

    /// Groups origins by the storage nodes that store them.
    pub(super) fn by_holder(&self, records: Vec<OriginRecord>) -> BTreeMap<Holder, Vec<OriginRecord>> {
        let mut groups: BTreeMap<Holder, Vec<OriginRecord>> = BTreeMap::new();
        let now = self.view.clock.now();
        for record in records {
            let recorded = lock(&self.directory).look_up(record.key, now);
            // Any node that may have the former record must learn that it is contradicted.
            let copies = if recorded == Some(RecordedOrigin::Conflicting) { ASKED } else { COPIES };
            for holder in self.responsive_holders(record.key, copies).into_iter().take(copies) {
                groups.entry(holder).or_default().push(record.clone());
            }
        }
        groups
    }

    /// Sends origins to a storage node, and to another one if it does not answer. Returns whether they are stored.
    pub(super) async fn store(self: Arc<Self>, holder: Holder, records: Vec<OriginRecord>) -> bool {
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
