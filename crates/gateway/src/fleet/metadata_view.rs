//! This node's view of the metadata store, which is also served to other nodes.
//!
//! Owns the mirror and the time of the last request for it. [`super::metadata_watch`] keeps the mirror up to date; the
//! peer listener forwards other nodes' requests here.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::peer_message::{GroupAnswerBody, GroupRefusal};
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::confirmation::{ConfirmationRequest, ConfirmationRequests, ConfirmedReads};
use stallmoor_core::serving::relay::contents::{ContentsAnswer, pack};
use stallmoor_core::serving::relay::continuity::{Continuity, Observation, ViewUpdate};
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};
use stallmoor_core::serving::relay::message::{ChangeSet, ChangesAnswer, ChangesRequest};
use stallmoor_core::serving::relay::mirror::{Mirror, MissingKeys};
use stallmoor_core::serving::relay::policy::ViewState;
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::{Notify, watch};

use crate::clock::NodeClock;

/// Maximum time that a request waits for changes, regardless of the wait that the caller requests.
const MAX_HOLD: Millis = Millis(5_000);
/// Time for which packed items are reused, so that many nodes that start at once don't each cause a new packing.
const PACKED_ITEMS_LIFETIME: Millis = Millis(500);

#[derive(Debug, Default)]
struct ViewContents {
    mirror: Mirror,
    continuity: Continuity,
    /// When the last request from another node arrived.
    last_request_at: Option<Timestamp>,
    /// Start of the current outage of the store; `None` while it is reachable.
    unreachable_since: Option<Timestamp>,
    packed: Option<PackedItems>,
    confirmations: ConfirmationRequests,
}

/// All items of a view, packed for nodes whose revision is too old for an incremental update.
#[derive(Clone, Debug)]
struct PackedItems {
    at: Revision,
    /// When the packed view was last known to be complete.
    confirmed_at: Timestamp,
    packed_at: Timestamp,
    packed: Arc<[u8]>,
}

impl ViewContents {
    fn unreachable_for(&self, now: Timestamp) -> Millis {
        self.unreachable_since.map_or(Millis(0), |since| now.since(since))
    }

    /// Returns all items, packed within the last [`PACKED_ITEMS_LIFETIME`]; `None` before the first read of the store.
    fn packed(&mut self, now: Timestamp) -> Option<PackedItems> {
        let age = self.mirror.age(now)?;
        let fresh = self.packed.take().filter(|packed| now.since(packed.packed_at) < PACKED_ITEMS_LIFETIME);
        let packed = match fresh {
            Some(packed) => packed,
            None => {
                let ChangeSet { at, items, .. } = self.mirror.all_items()?;
                PackedItems { at, confirmed_at: now - age, packed_at: now, packed: pack(&items) }
            }
        };
        self.packed = Some(packed.clone());
        Some(packed)
    }
}

/// This node's view of the metadata store.
pub struct MetadataView {
    clock: NodeClock,
    bounds: WatchBounds,
    state: Mutex<ViewContents>,
    /// Incremented when the view changes or is confirmed.
    changed: watch::Sender<u64>,
    /// Notified when a request from another node arrives.
    request_received: Notify,
    /// Notified when a confirmation is requested.
    confirmation_requested: Notify,
}

impl MetadataView {
    /// Creates an empty view.
    pub fn new(clock: NodeClock, bounds: WatchBounds) -> Self {
        let changed = watch::Sender::new(0);
        let (request_received, confirmation_requested) = (Notify::new(), Notify::new());
        Self { clock, bounds, state: Mutex::default(), changed, request_received, confirmation_requested }
    }

    /// Returns the state that the watch policy bases its next step on.
    pub fn state(&self) -> ViewState {
        let now = self.clock.now();
        let state = self.lock();
        ViewState { now, at: state.mirror.at(), age: state.mirror.age(now), last_request_at: state.last_request_at }
    }

    /// Returns the age up to which a view is as recent as a node's contact with the store.
    pub fn contact_bound(&self) -> Millis {
        self.bounds.contact
    }

    /// Returns for how long this node has observed the store.
    pub fn observation(&self) -> Observation {
        let now = self.clock.now();
        self.lock().continuity.observed(now)
    }

    /// Returns all items that have a value; `None` before the first read of the store.
    pub fn present_items(&self) -> Option<Vec<MetadataItem>> {
        let ChangeSet { mut items, .. } = self.lock().mirror.all_items()?;
        items.retain(|item| item.value().is_some());
        Some(items)
    }

    /// Waits until a request from another node arrives.
    pub async fn wait_for_request(&self) {
        self.request_received.notified().await;
    }

    /// Requests a read of the store that begins after this call; `None` if the store is known to be out of reach, or a read
    /// has failed lately.
    pub fn request_confirmation(&self) -> Option<ConfirmationRequest> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.mirror.at().is_none() || state.unreachable_since.is_some() {
            return None;
        }
        let request = state.confirmations.add(now)?;
        self.confirmation_requested.notify_one();
        Some(request)
    }

    /// Waits until a confirmation is requested.
    pub async fn wait_for_confirmation_request(&self) {
        self.confirmation_requested.notified().await;
    }

    /// Returns the time to wait until a read that confirms the view may begin.
    pub fn wait_before_confirmation(&self) -> Millis {
        self.lock().confirmations.wait_before_read(self.clock.now())
    }

    /// Records that a read begins that confirms the view, and returns the last request that it serves.
    pub fn begin_confirmation(&self) -> ConfirmationRequest {
        self.lock().confirmations.begin_read(self.clock.now())
    }

    /// Records that the read that serves the requests up to `served` has ended.
    pub fn end_confirmation(&self, served: ConfirmationRequest, is_confirmed: bool) -> ConfirmedReads {
        self.lock().confirmations.end_read(served, is_confirmed, self.clock.now())
    }

    /// Replaces the view by the complete contents of the store, which were current at `confirmed`. Returns the items
    /// that changed.
    pub fn replace(
        &self,
        listed: Vec<MetadataItem>,
        at: Revision,
        missing: MissingKeys,
        confirmed: Timestamp,
    ) -> Vec<MetadataItem> {
        self.change(ViewUpdate::Replaced, confirmed, |mirror| mirror.replace(listed, at, missing))
    }

    /// Applies changes after which the view was current at `confirmed`. Returns the items that changed.
    pub fn advance(&self, changes: Vec<MetadataItem>, at: Revision, confirmed: Timestamp) -> Vec<MetadataItem> {
        let update = if changes.is_empty() { ViewUpdate::Unchanged } else { ViewUpdate::Changed };
        self.change(update, confirmed, |mirror| mirror.advance(changes, at))
    }

    fn change(
        &self,
        update: ViewUpdate,
        confirmed: Timestamp,
        change: impl FnOnce(&mut Mirror) -> Vec<MetadataItem>,
    ) -> Vec<MetadataItem> {
        let changed = {
            let mut state = self.lock();
            let changed = change(&mut state.mirror);
            state.mirror.confirm(confirmed);
            state.continuity.record(update, confirmed);
            changed
        };
        self.changed.send_modify(|count| *count += 1);
        changed
    }

    /// Records how long this node has been unable to reach the store, zero if it is reachable.
    pub fn set_unreachable_for(&self, duration: Millis) {
        let now = self.clock.now();
        let since = Timestamp::from_millis(now.as_millis().saturating_sub(duration.0));
        self.lock().unreachable_since = (duration > Millis(0)).then_some(since);
    }

    /// Answers another node's request for changes as soon as this view is fresh and has changes, or when the requested
    /// wait is over.
    ///
    /// # Errors
    ///
    /// [`GroupRefusal::Busy`]: this node has not read the store yet.
    pub async fn answer(&self, request: ChangesRequest) -> Result<ChangesAnswer, GroupRefusal> {
        let received_at = self.wait_for_changes(request).await;
        let now = self.clock.now();
        let state = self.lock();
        let age = state.mirror.age(now).ok_or(GroupRefusal::Busy)?;
        let changes = state.mirror.changes_since(request.since).ok_or(GroupRefusal::Busy)?;
        let away = state.unreachable_for(now);
        Ok(ChangesAnswer { changes, age, away, held: now.since(received_at) })
    }

    /// Answers another node, with all items packed if this view no longer has the changes since the requested revision.
    ///
    /// # Errors
    ///
    /// The same as [`MetadataView::answer`].
    pub async fn answer_follower(&self, request: ChangesRequest) -> Result<GroupAnswerBody, GroupRefusal> {
        if self.lock().mirror.has_changes_since(request.since) {
            return self.answer(request).await.map(GroupAnswerBody::Changes);
        }
        let received_at = self.clock.now();
        self.record_request(received_at);
        let mut state = self.lock();
        let contents = state.packed(received_at).ok_or(GroupRefusal::Busy)?;
        let (age, away) = (received_at.since(contents.confirmed_at), state.unreachable_for(received_at));
        let answer = ContentsAnswer { at: contents.at, age, away, held: Millis(0), packed: contents.packed };
        Ok(GroupAnswerBody::Contents(answer))
    }

    /// Waits for changes, up to the requested time. Returns the time at which the request arrived.
    async fn wait_for_changes(&self, request: ChangesRequest) -> Timestamp {
        let received_at = self.clock.now();
        self.record_request(received_at);
        let hold = Duration::from_millis(request.hold.min(MAX_HOLD).0);
        let mut changes = self.changed.subscribe();
        let has_changes = |_: &u64| self.has_changes(request.since);
        // After a timeout the caller answers with the current state.
        let _ = tokio::time::timeout(hold, changes.wait_for(has_changes)).await;
        received_at
    }

    fn record_request(&self, now: Timestamp) {
        self.lock().last_request_at = Some(now);
        self.request_received.notify_one();
    }

    fn has_changes(&self, since: Revision) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let is_fresh = state.mirror.age(now).is_some_and(|age| age < self.bounds.max_relay_age());
        is_fresh && state.mirror.at() > Some(since)
    }

    fn lock(&self) -> MutexGuard<'_, ViewContents> {
        // A panic while the lock is held leaves the view consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
