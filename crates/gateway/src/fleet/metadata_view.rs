//! This node's view of the metadata store, which other nodes may ask for.
//!
//! Owns the mirror and when it was last asked for; [`super::metadata_watch`] keeps it up to date, and the listener for
//! peers puts other nodes' questions to it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::peer_message::{GroupAnswerBody, GroupRefusal};
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::contents::{ContentsAnswer, pack};
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};
use stallmoor_core::serving::relay::message::{ChangeSet, ChangesAnswer, ChangesRequest};
use stallmoor_core::serving::relay::mirror::{Mirror, MissingKeys};
use stallmoor_core::serving::relay::policy::ViewState;
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::{Notify, watch};

use crate::clock::NodeClock;

/// Longest time for which an answer is held back, in milliseconds, whatever is asked: no question holds its connection
/// for ever.
const LONGEST_HOLD: Millis = Millis(5_000);
/// What was packed once serves nodes that ask within this time, in milliseconds: where many start at once, packing takes
/// less time than what it serves.
const PACKED_LIFETIME: Millis = Millis(500);

#[derive(Debug, Default)]
struct ViewContents {
    mirror: Mirror,
    /// When another node last asked.
    asked_at: Option<Timestamp>,
    /// Since when the store is out of reach.
    away_since: Option<Timestamp>,
    /// The items as they were packed last.
    packed: Option<PackedItems>,
}

/// All items of a view, packed for nodes that can't be told what changed alone.
#[derive(Clone, Debug)]
struct PackedItems {
    at: Revision,
    /// When the view was known to be complete, as far as it was packed.
    confirmed_at: Timestamp,
    packed_at: Timestamp,
    packed: Arc<[u8]>,
}

impl ViewContents {
    /// For how long the store has been out of reach.
    fn away(&self, now: Timestamp) -> Millis {
        self.away_since.map_or(Millis(0), |since| now.since(since))
    }

    /// All items, packed a moment ago at the earliest; `None` if nothing is known yet.
    fn packed(&mut self, now: Timestamp) -> Option<PackedItems> {
        let age = self.mirror.age(now)?;
        let fresh = self.packed.take().filter(|packed| now.since(packed.packed_at) < PACKED_LIFETIME);
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
    /// Counts changes of the view and confirmations of its age.
    changed: watch::Sender<u64>,
    /// Notified when another node asks.
    asked: Notify,
}

impl MetadataView {
    /// A view that knows nothing yet.
    pub fn new(clock: NodeClock, bounds: WatchBounds) -> Self {
        let changed = watch::Sender::new(0);
        Self { clock, bounds, state: Mutex::default(), changed, asked: Notify::new() }
    }

    /// What the choice of the next call depends on.
    pub fn state(&self) -> ViewState {
        let now = self.clock.now();
        let state = self.lock();
        ViewState { now, at: state.mirror.at(), age: state.mirror.age(now), asked_at: state.asked_at }
    }

    /// Waits until another node asks.
    pub async fn asked(&self) {
        self.asked.notified().await;
    }

    /// Takes all that the store holds. The view was complete at `confirmed`. Returns what is new.
    pub fn replace(
        &self,
        listed: Vec<MetadataItem>,
        at: Revision,
        missing: MissingKeys,
        confirmed: Timestamp,
    ) -> Vec<MetadataItem> {
        self.change(confirmed, |mirror| mirror.replace(listed, at, missing))
    }

    /// Takes changes. The view was complete at `confirmed`. Returns what is new.
    pub fn advance(&self, changes: Vec<MetadataItem>, at: Revision, confirmed: Timestamp) -> Vec<MetadataItem> {
        self.change(confirmed, |mirror| mirror.advance(changes, at))
    }

    fn change(&self, confirmed: Timestamp, change: impl FnOnce(&mut Mirror) -> Vec<MetadataItem>) -> Vec<MetadataItem> {
        let changed = {
            let mut state = self.lock();
            let changed = change(&mut state.mirror);
            state.mirror.confirm(confirmed);
            changed
        };
        self.changed.send_modify(|count| *count += 1);
        changed
    }

    /// For how long the store has been out of this node's reach.
    pub fn set_unreachable_for(&self, away: Millis) {
        let now = self.clock.now();
        let since = Timestamp::from_millis(now.as_millis().saturating_sub(away.0));
        self.lock().away_since = (away > Millis(0)).then_some(since);
    }

    /// Answers another node: at once if this view is young and there are changes, else when there are, or the time
    /// is over.
    ///
    /// # Errors
    ///
    /// [`GroupRefusal::Busy`]: this node knows nothing yet.
    pub async fn answer(&self, request: ChangesRequest) -> Result<ChangesAnswer, GroupRefusal> {
        let begun = self.hold(request).await;
        let now = self.clock.now();
        let state = self.lock();
        let age = state.mirror.age(now).ok_or(GroupRefusal::Busy)?;
        let changes = state.mirror.changes_since(request.since).ok_or(GroupRefusal::Busy)?;
        let away = state.away(now);
        Ok(ChangesAnswer { changes, age, away, held: now.since(begun) })
    }

    /// Answers another node that takes all items packed where the changes alone can't be told.
    ///
    /// # Errors
    ///
    /// As [`MetadataView::answer`].
    pub async fn follow(&self, request: ChangesRequest) -> Result<GroupAnswerBody, GroupRefusal> {
        if self.lock().mirror.knows_changes_since(request.since) {
            return self.answer(request).await.map(GroupAnswerBody::Changes);
        }
        let begun = self.clock.now();
        self.note_question(begun);
        let mut state = self.lock();
        let contents = state.packed(begun).ok_or(GroupRefusal::Busy)?;
        let (age, away) = (begun.since(contents.confirmed_at), state.away(begun));
        let answer = ContentsAnswer { at: contents.at, age, away, held: Millis(0), packed: contents.packed };
        Ok(GroupAnswerBody::Contents(answer))
    }

    /// Waits until there is something to answer, or the time is over. Returns when that began.
    async fn hold(&self, request: ChangesRequest) -> Timestamp {
        let begun = self.clock.now();
        self.note_question(begun);
        let hold = Duration::from_millis(request.hold.min(LONGEST_HOLD).0);
        let mut changes = self.changed.subscribe();
        let has_changes = |_: &u64| self.has_changes(request.since);
        // Whatever is known by then is the answer.
        let _ = tokio::time::timeout(hold, changes.wait_for(has_changes)).await;
        begun
    }

    fn note_question(&self, now: Timestamp) {
        self.lock().asked_at = Some(now);
        self.asked.notify_one();
    }

    fn has_changes(&self, since: Revision) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let is_young = state.mirror.age(now).is_some_and(|age| age < self.bounds.max_relay_age());
        is_young && state.mirror.at() > Some(since)
    }

    fn lock(&self) -> MutexGuard<'_, ViewContents> {
        // A panic elsewhere leaves a view that is still whole.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
