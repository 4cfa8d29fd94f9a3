//! Group membership: bootstrap, the pair record of a group of two voters, and drain reports.
//!
//! Owns the [`MembershipPlanner`] and the calls to the metadata store. The service executes the planned actions on the
//! replica and passes the store's answers back to the planner.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::replication::{GroupMembership, Replica};
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::members::{DrainState, MembershipPlanner};
use stallmoor_core::serving::jobs::pair::{PairRecord, StoredPair};
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};
use tokio::sync::{Notify, mpsc};

use crate::adapter::metadata::{FleetUpdate, MetadataStore, PutOutcome};
use crate::observe::journal::{Field, record};
use crate::storage::registration::{PAIR_KEY, storage_record_key};

/// Delay before a failed drain report is retried; limits the load on a store that is down.
const DRAIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before the pair record is read after a failed write; limits the load on a store that is down.
const PAIR_READ_DELAY: Duration = Duration::from_millis(200);

/// This node's record in the metadata store.
pub struct OwnRecord {
    key: String,
    /// Notified when another writer has overwritten the record by something unreadable.
    pub overwritten: Arc<Notify>,
}

impl OwnRecord {
    /// Describes the record of the machine that this node runs on.
    pub fn new(machine: &str) -> Self {
        Self { key: storage_record_key(machine), overwritten: Arc::default() }
    }

    /// Requests that the record be written again if it can't be read. A readable one is of a later node on this machine.
    fn on_item(&self, item: &MetadataItem) {
        let is_own = *item.key == *self.key;
        let is_unreadable = |value| serde_json::from_slice::<StorageRecord>(value).is_err();
        if is_own && item.value().is_some_and(is_unreadable) {
            self.overwritten.notify_one();
        }
    }
}

/// This node's view of the group's members, and the related calls to the metadata store.
pub(super) struct Membership {
    id: NodeId,
    planner: MembershipPlanner,
    metadata: Arc<dyn MetadataStore>,
    /// The initial membership, once it is known.
    initial_membership: Option<GroupMembership>,
    /// Unbounded: at most one write of the pair record is in progress.
    pair_reads: mpsc::UnboundedSender<Option<StoredPair>>,
    own_record: OwnRecord,
}

impl Membership {
    pub(super) fn new(
        id: NodeId,
        planner: MembershipPlanner,
        metadata: Arc<dyn MetadataStore>,
        pair_reads: mpsc::UnboundedSender<Option<StoredPair>>,
        own_record: OwnRecord,
    ) -> Self {
        Self { id, planner, metadata, initial_membership: None, pair_reads, own_record }
    }

    /// Returns the planner, which knows the contacts of this node.
    pub(super) fn contacts(&self) -> &MembershipPlanner {
        &self.planner
    }

    pub(super) fn id(&self) -> NodeId {
        self.id
    }

    pub(super) fn planner(&mut self) -> &mut MembershipPlanner {
        &mut self.planner
    }

    /// Sets the initial membership, read from the founding record.
    pub(super) fn set_initial_membership(&mut self, initial_membership: GroupMembership) {
        self.initial_membership = Some(initial_membership);
    }

    /// Returns the membership to bootstrap with, if this node is an initial voter and its log is empty.
    pub(super) fn due_bootstrap(&self, replica: &Replica) -> Option<GroupMembership> {
        let is_empty = replica.log().last_index().0 == 0;
        self.initial_membership
            .clone()
            .filter(|initial_membership| is_empty && initial_membership.voters.contains(&self.id))
    }

    /// Applies a change of the metadata store.
    pub(super) fn on_update(&mut self, update: &FleetUpdate) {
        match update {
            FleetUpdate::DrainMachine { machine } => self.planner.drain(machine.clone()),
            FleetUpdate::InternalItem(item) if &*item.key == PAIR_KEY => {
                self.planner.apply_pair_record(decode_pair(item))
            }
            FleetUpdate::InternalItem(item) => self.own_record.on_item(item),
            _ => {}
        }
    }

    /// Writes the pair record if its revision in the store is still `revision`. Reads the record if the write fails.
    pub(super) fn write_pair(&self, pair: PairRecord, revision: u64) {
        record(LogEvent::PairRecorded, &[Field::text("record", format!("{pair:?}"))]);
        let (metadata, reads) = (self.metadata.clone(), self.pair_reads.clone());
        tokio::spawn(async move {
            // Serialization can't fail: the record holds only numbers and names.
            let value = serde_json::to_vec(&pair).unwrap_or_default();
            let read = match metadata.put(PAIR_KEY.to_owned(), value, Revision(revision)).await {
                PutOutcome::Written(at) => Some(StoredPair { record: Some(pair), revision: at.0 }),
                // The outcome of the write is unclear or another node wrote first, so read the current record.
                PutOutcome::Conflict | PutOutcome::Unknown => {
                    tokio::time::sleep(PAIR_READ_DELAY).await;
                    metadata.get(PAIR_KEY.to_owned()).await.map(|item| decode_pair(&item))
                }
            };
            let _ = reads.send(read);
        });
    }

    /// Reports the drain state of a machine, retrying until the store accepts it.
    pub(super) fn report_drain(&self, machine: Arc<str>, state: DrainState) {
        let fields = [Field::text("machine", &machine), Field::text("state", format!("{state:?}"))];
        record(LogEvent::EmptyingReported, &fields);
        let metadata = self.metadata.clone();
        tokio::spawn(async move {
            while !metadata.report_drain(machine.clone(), state).await {
                tokio::time::sleep(DRAIN_RETRY_INTERVAL).await;
            }
        });
    }
}

/// Decodes the pair record as stored in the metadata store.
fn decode_pair(item: &MetadataItem) -> StoredPair {
    let record = item.value().and_then(|value| serde_json::from_slice(value).ok());
    StoredPair { record, revision: item.revision.0 }
}
