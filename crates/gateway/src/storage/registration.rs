//! A storing node's record in the metadata store, and the founding of the job table's group.

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
use tokio::sync::mpsc::UnboundedSender;

use crate::adapter::metadata::{MetadataStore, PutOutcome};
use crate::fleet::fleet_view::{FOUNDING_KEY, FleetView, STORAGE_KEY_PREFIX};
use crate::observe::journal::{Field, record};

/// The key of the record of a group of two.
pub const PAIR_KEY: &str = "stallmoor/jobs/pair";
/// The wait after a call that brought nothing, in milliseconds. Spares a store that is down.
const RETRY_WAIT: Duration = Duration::from_millis(300);
/// How long a founder waits for more storing nodes than the fewest that may found, in milliseconds. A group begins with
/// all its voters where they come up together.
const FOUNDING_WAIT: Millis = Millis(3_000);
/// The wait of each further founder, in milliseconds, so that one goes first.
const FOUNDING_STAGGER: Duration = Duration::from_millis(400);

/// Writes the node's record until it is there.
pub async fn register(metadata: Arc<dyn MetadataStore>, record: StorageRecord) {
    let key = format!("{STORAGE_KEY_PREFIX}{}", record.name);
    let Ok(value) = serde_json::to_vec(&record) else { return };
    let mut expected = Revision(0);
    loop {
        match metadata.put(key.clone(), value.clone(), expected).await {
            PutOutcome::Written(_) => return,
            PutOutcome::Unknown => tokio::time::sleep(RETRY_WAIT).await,
            PutOutcome::Conflict => {}
        }
        match metadata.get(key.clone()).await {
            Some(item) if item.value() == Some(&value[..]) => return,
            Some(item) if item.value().is_some() => expected = item.revision,
            Some(_) => expected = Revision(0),
            None => tokio::time::sleep(RETRY_WAIT).await,
        }
    }
}

/// Waits for the founding record, or writes it if this node is among the first. One conditional write
/// decides, so that all founders begin with the same membership.
pub async fn bootstrap_group(
    view: Arc<FleetView>,
    metadata: Arc<dyn MetadataStore>,
    id: NodeId,
    tolerated: usize,
    founders: UnboundedSender<GroupMembership>,
) {
    let started = view.clock.now();
    let wanted = voters_tolerating(tolerated);
    loop {
        if let Some(record) = view.founding() {
            let _ = founders.send(GroupMembership::of_voters(record.voters));
            return;
        }
        if view.is_synced() {
            let waited = view.clock.now().since(started) >= FOUNDING_WAIT;
            if let Some(voters) = choose_founders(&view, wanted, tolerated, waited) {
                let place = voters.iter().position(|voter| *voter == id).unwrap_or(voters.len());
                tokio::time::sleep(FOUNDING_STAGGER * place as u32).await;
                if view.founding().is_none() {
                    write_founding(&*metadata, voters).await;
                }
            }
        }
        tokio::time::sleep(RETRY_WAIT).await;
    }
}

/// Writes the founding record unless there is one. Whoever was first, the view tells the record.
async fn write_founding(metadata: &dyn MetadataStore, voters: BTreeSet<NodeId>) {
    let Ok(value) = serde_json::to_vec(&FoundingRecord { voters }) else { return };
    let outcome = metadata.put(FOUNDING_KEY.to_owned(), value, Revision(0)).await;
    record(LogEvent::FoundingWritten, &[Field::text("outcome", format!("{outcome:?}"))]);
}

/// The nodes that found the group: from as many zones as there are.
fn choose_founders(view: &FleetView, wanted: usize, tolerated: usize, waited: bool) -> Option<BTreeSet<NodeId>> {
    let storage = view.storage();
    let enough = if waited { tolerated + 1 } else { wanted };
    if storage.len() < enough {
        return None;
    }
    let mut voters = BTreeSet::new();
    let mut zones = BTreeSet::new();
    let in_new_zone = storage.records().filter(|record| zones.insert(record.zone.clone()));
    voters.extend(in_new_zone.take(wanted).map(|record| record.node));
    for record in storage.records() {
        if voters.len() < wanted {
            voters.insert(record.node);
        }
    }
    Some(voters)
}
