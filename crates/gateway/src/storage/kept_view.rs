//! Keeps what a storage node knows of the metadata store on its disk, for its next start.
//!
//! A storage node that starts while the store does not answer it then knows where its peers are, and as a leader which
//! configuration and workers there were. What it has kept is never served to other nodes and never counts as a complete
//! view: nothing of it is in the [`MetadataView`].

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::directory::StorageDirectory;
use stallmoor_core::serving::relay::item::MetadataItem;
use stallmoor_core::serving::relay::outage::RecordGrace;
use stallmoor_core::time::{Millis, Timestamp};
use stallmoor_storage::{KeptView, StorageError};

use crate::adapter::metadata::{FleetUpdate, MetadataStore};
use crate::fleet::fleet_view::{FOUNDING_KEY, FleetView, STORAGE_KEY_PREFIX};
use crate::fleet::metadata_view::MetadataView;
use crate::observe::journal::{Field, record};

/// Interval at which the node checks whether storage nodes or the configuration have changed, and minimum time between
/// two writes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two writes if nothing else has changed. Workers write their records all the time.
const WORKERS_INTERVAL: Millis = Millis(10_000);

/// Applies what a former process of this node has kept, and returns its keys.
pub fn apply_kept(folder: &Path, node: NodeId, store: &dyn MetadataStore, view: &FleetView) -> Vec<Arc<str>> {
    let Some(kept) = KeptView::read(folder, node) else { return Vec::new() };
    let age = view.clock.wall_time().0.saturating_sub(kept.known_at.0);
    let fields = [Field::number("items", kept.items.len() as u64), Field::number("age_ms", age)];
    record(LogEvent::KeptViewUsed, &fields);
    let mut keys = Vec::new();
    for item in kept.items {
        if let Some(update) = update_to_keep(&item, store) {
            view.apply_kept(&update);
            keys.push(item.key);
        }
    }
    keys
}

/// Returns the update of an item that is kept; `None` for one that only the store may tell. The record of a pair and the
/// orders to drain machines are such.
fn update_to_keep(item: &MetadataItem, store: &dyn MetadataStore) -> Option<FleetUpdate> {
    let grace = RecordGrace { removed_usable_until: Timestamp::default(), expired_usable_until: None };
    let update = store.interpret(item, &grace)?;
    let is_kept = match &update {
        FleetUpdate::Configuration(_) | FleetUpdate::Worker(_) | FleetUpdate::ZoneEvacuation { .. } => true,
        FleetUpdate::InternalItem(item) => &*item.key == FOUNDING_KEY || item.key.starts_with(STORAGE_KEY_PREFIX),
        _ => false,
    };
    is_kept.then_some(update)
}

/// Writes this node's view to its disk, at a bounded rate.
pub struct ViewKeeper {
    /// The data folder.
    pub folder: PathBuf,
    /// Identity of this node.
    pub node: NodeId,
    /// The fleet, by which changes are noticed.
    pub fleet: Arc<FleetView>,
    /// The items.
    pub view: Arc<MetadataView>,
    /// Interprets items.
    pub store: Arc<dyn MetadataStore>,
}

/// What is written without waiting for [`WORKERS_INTERVAL`] when it changes.
#[derive(Debug, PartialEq, Eq)]
struct UrgentParts {
    storage: StorageDirectory,
    configuration: Option<u64>,
}

impl ViewKeeper {
    /// Keeps the view until the process ends.
    pub async fn run(self) {
        let mut written: Option<(UrgentParts, Timestamp)> = None;
        let mut has_failed = false;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let (urgent, now) = (self.urgent_parts(), self.fleet.clock.now());
            let is_recent = |at: &Timestamp| now.since(*at) < WORKERS_INTERVAL;
            let is_unchanged = written.as_ref().is_some_and(|(parts, at)| *parts == urgent && is_recent(at));
            if !self.fleet.is_synced() || is_unchanged {
                continue;
            }
            let result = self.write().await;
            if let (Err(error), false) = (&result, has_failed) {
                record(LogEvent::ViewNotKept, &[Field::text("detail", error)]);
            }
            has_failed = result.is_err();
            written = Some((urgent, now));
        }
    }

    fn urgent_parts(&self) -> UrgentParts {
        let configuration = self.fleet.configuration().map(|configuration| configuration.version);
        UrgentParts { storage: self.fleet.storage().clone(), configuration }
    }

    /// Writes the view on another thread, since the disk may be slow.
    async fn write(&self) -> Result<(), StorageError> {
        let mut items = self.view.present_items().unwrap_or_default();
        items.retain(|item| update_to_keep(item, &*self.store).is_some());
        let kept = KeptView { node: self.node, known_at: self.fleet.clock.wall_time(), items };
        let folder = self.folder.clone();
        match tokio::task::spawn_blocking(move || kept.write(&folder)).await {
            Ok(result) => result,
            // The runtime is shutting down.
            Err(_) => Ok(()),
        }
    }
}
