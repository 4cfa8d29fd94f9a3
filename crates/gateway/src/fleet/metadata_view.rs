//! This node's view of the metadata store, which other nodes may ask for.
//!
//! Owns the mirror and when it was last asked for; [`super::metadata_watch`] keeps it up to date, and the listener for peers
//! puts other nodes' questions to it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};
use stallmoor_core::serving::relay::message::{ChangesAnswer, ChangesRequest};
use stallmoor_core::serving::relay::mirror::{Mirror, MissingKeys};
use stallmoor_core::serving::relay::policy::ViewState;
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::{Notify, watch};

use crate::clock::NodeClock;

/// Longest time for which an answer is held back, in milliseconds, whatever is asked: no question holds its connection
/// for ever. Not measured: over the hold of any change bound in use (15% of 2 s).
const LONGEST_HOLD: Millis = Millis(5_000);

#[derive(Debug, Default)]
struct ViewContents {
    mirror: Mirror,
    /// When another node last asked.
    asked_at: Option<Timestamp>,
    /// Since when the store is out of reach.
    away_since: Option<Timestamp>,
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
    pub fn set_away(&self, away: Millis) {
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
        let begun = self.clock.now();
        self.lock().asked_at = Some(begun);
        self.asked.notify_one();
        let hold = Duration::from_millis(request.hold.min(LONGEST_HOLD).0);
        let mut changes = self.changed.subscribe();
        let has_changes = |_: &u64| self.has_changes(request.since);
        // Whatever is known by then is the answer.
        let _ = tokio::time::timeout(hold, changes.wait_for(has_changes)).await;
        let now = self.clock.now();
        let state = self.lock();
        let age = state.mirror.age(now).ok_or(GroupRefusal::Busy)?;
        let changes = state.mirror.changes_since(request.since).ok_or(GroupRefusal::Busy)?;
        let away = state.away_since.map_or(Millis(0), |since| now.since(since));
        Ok(ChangesAnswer { changes, age, away, held: now.since(begun) })
    }

    fn has_changes(&self, since: Revision) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let is_young = state.mirror.age(now).is_some_and(|age| age < self.bounds.relay_stale());
        is_young && state.mirror.at() > Some(since)
    }

    fn lock(&self) -> MutexGuard<'_, ViewContents> {
        // A panic elsewhere leaves a view that is still whole.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
