//! Registers a storage node in the metadata store and bootstraps the job table's replication group.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::replication::GroupMembership;
use stallmoor_core::serving::jobs::directory::{FoundingRecord, StorageRecord};
use stallmoor_core::serving::jobs::members::voters_tolerating;
use stallmoor_core::serving::relay::item::Revision;
use stallmoor_core::time::Millis;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::adapter::metadata::{MetadataStore, PutOutcome};
use crate::fleet::fleet_view::{FOUNDING_KEY, FleetView, STORAGE_KEY_PREFIX};
use crate::observe::journal::{Field, record};

/// Key of the pair record, which a group of two voters uses to survive the loss of one.
pub const PAIR_KEY: &str = "stallmoor/jobs/pair";
/// Delay between calls to the metadata store; limits the load on a store that is down.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum wait for the target number of voters before the group is bootstrapped with the minimum. A group starts with
/// all its voters where they come up together.
const FULL_GROUP_TIMEOUT: Millis = Millis(3_000);
/// Delay per position in the list of initial voters before a node tries to write the founding record; usually only the
/// first one needs to.
const BOOTSTRAP_STAGGER: Duration = Duration::from_millis(400);

/// Writes the node's record to the metadata store, and writes it again each time that `overwritten` is notified.
pub async fn keep_registered(metadata: Arc<dyn MetadataStore>, record: StorageRecord, overwritten: Arc<Notify>) {
    loop {
        register(metadata.clone(), record.clone()).await;
        tokio::time::sleep(RETRY_INTERVAL).await;
        overwritten.notified().await;
    }
}

/// Returns the key of a machine's storage record.
pub fn storage_record_key(machine: &str) -> String {
    format!("{STORAGE_KEY_PREFIX}{machine}")
}

/// Writes the node's record to the metadata store, retrying until the store contains it.
pub async fn register(metadata: Arc<dyn MetadataStore>, record: StorageRecord) {
    let key = storage_record_key(&record.name);
    let Ok(value) = serde_json::to_vec(&record) else { return };
    let mut expected = Revision(0);
    loop {
        match metadata.put(key.clone(), value.clone(), expected).await {
            PutOutcome::Written(_) => return,
            PutOutcome::Unknown => tokio::time::sleep(RETRY_INTERVAL).await,
            PutOutcome::Conflict => {}
        }
        match metadata.get(key.clone()).await {
            Some(item) if item.value() == Some(&value[..]) => return,
            Some(item) if item.value().is_some() => expected = item.revision,
            Some(_) => expected = Revision(0),
            None => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Waits for the founding record and sends its membership to `membership_sender`. Tries to write the record once enough
/// nodes are registered; the write is conditional, so all nodes start from the same membership.
pub async fn bootstrap_group(
    view: Arc<FleetView>,
    metadata: Arc<dyn MetadataStore>,
    id: NodeId,
    tolerated_losses: usize,
    membership_sender: UnboundedSender<GroupMembership>,
) {
    let started = view.clock.now();
    let target_voters = voters_tolerating(tolerated_losses);
    loop {
        if let Some(record) = view.founding() {
            let _ = membership_sender.send(GroupMembership::of_voters(record.voters));
            return;
        }
        if view.is_synced() {
            let timed_out = view.clock.now().since(started) >= FULL_GROUP_TIMEOUT;
            if let Some(voters) = choose_initial_voters(&view, target_voters, tolerated_losses, timed_out) {
                let position = voters.iter().position(|voter| *voter == id).unwrap_or(voters.len());
                tokio::time::sleep(BOOTSTRAP_STAGGER * position as u32).await;
                if view.founding().is_none() {
                    write_founding_record(&*metadata, voters).await;
                }
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Writes the founding record unless one exists. The record that was written first reaches this node through the view.
async fn write_founding_record(metadata: &dyn MetadataStore, voters: BTreeSet<NodeId>) {
    let Ok(value) = serde_json::to_vec(&FoundingRecord { voters }) else { return };
    let outcome = metadata.put(FOUNDING_KEY.to_owned(), value, Revision(0)).await;
    record(LogEvent::FoundingWritten, &[Field::text("outcome", format!("{outcome:?}"))]);
}

/// Selects the initial voters, spread over as many zones as possible. Returns `None` while too few nodes are
/// registered.
fn choose_initial_voters(
    view: &FleetView,
    target_voters: usize,
    tolerated_losses: usize,
    timed_out: bool,
) -> Option<BTreeSet<NodeId>> {
    let storage = view.storage();
    let required_voters = if timed_out { tolerated_losses + 1 } else { target_voters };
    if storage.len() < required_voters {
        return None;
    }
    let mut voters = BTreeSet::new();
    let mut zones = BTreeSet::new();
    let in_new_zone = storage.records().filter(|record| zones.insert(record.zone.clone()));
    voters.extend(in_new_zone.take(target_voters).map(|record| record.node));
    for record in storage.records() {
        if voters.len() < target_voters {
            voters.insert(record.node);
        }
    }
    Some(voters)
}
