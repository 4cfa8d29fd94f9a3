//! The members of the group: their founding, the record of a group of two, and reports of drained machines.
//!
//! It owns the rules' state ([`MembershipPlanner`]) and the calls to the metadata store. It relies on the service to carry out
//! what the rules ask of the replica, and to hand back what the store answered.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::replication::{GroupMembership, Replica};
use stallmoor_core::serving::jobs::members::{DrainState, MembershipPlanner};
use stallmoor_core::serving::jobs::pair::{PairRecord, StoredPair};
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};
use tokio::sync::mpsc;

use crate::adapter::metadata::{FleetUpdate, MetadataStore, PutOutcome};
use crate::observe::journal::{Field, record};
use crate::storage::registration::PAIR_KEY;

/// The wait before a drain is reported again, in milliseconds. Spares a store that is down.
const DRAIN_RETRY: Duration = Duration::from_millis(250);
/// The wait before the pair's record is read after a write that did not succeed, in milliseconds. Spares a store that
/// is down.
const PAIR_RETRY: Duration = Duration::from_millis(200);

/// What this node knows of the group's members, and the calls to the metadata store about them.
pub(super) struct Membership {
    id: NodeId,
    members: MembershipPlanner,
    metadata: Arc<dyn MetadataStore>,
    /// The founding membership, once it is known.
    founding: Option<GroupMembership>,
    /// Without a bound, as one write of the pair's record is under way at most.
    pair_reads: mpsc::UnboundedSender<Option<StoredPair>>,
}

impl Membership {
    pub(super) fn new(
        id: NodeId,
        members: MembershipPlanner,
        metadata: Arc<dyn MetadataStore>,
        pair_reads: mpsc::UnboundedSender<Option<StoredPair>>,
    ) -> Self {
        Self { id, members, metadata, founding: None, pair_reads }
    }

    /// This node.
    pub(super) fn id(&self) -> NodeId {
        self.id
    }

    /// The rules of the membership.
    pub(super) fn members(&mut self) -> &mut MembershipPlanner {
        &mut self.members
    }

    /// The founding membership is known.
    pub(super) fn set_founding(&mut self, founding: GroupMembership) {
        self.founding = Some(founding);
    }

    /// The membership to found the group with, if this node is a founder and its log is empty.
    pub(super) fn due_founding(&self, replica: &Replica) -> Option<GroupMembership> {
        let is_empty = replica.log().last_index().0 == 0;
        self.founding.clone().filter(|founding| is_empty && founding.voters.contains(&self.id))
    }

    /// The metadata store reported a change.
    pub(super) fn on_update(&mut self, update: &FleetUpdate) {
        match update {
            FleetUpdate::DrainMachine { machine } => self.members.drain(machine.clone()),
            FleetUpdate::InternalItem(item) if &*item.key == PAIR_KEY => {
                self.members.apply_pair_record(read_pair(item))
            }
            _ => {}
        }
    }

    /// Writes the pair's record if the store's revision of it is still `revision`, and reads it if that failed.
    pub(super) fn write_pair(&self, pair: PairRecord, revision: u64) {
        record(LogEvent::PairRecorded, &[Field::text("record", format!("{pair:?}"))]);
        let (metadata, reads) = (self.metadata.clone(), self.pair_reads.clone());
        tokio::spawn(async move {
            // Can't fail: the record is of numbers and names only.
            let value = serde_json::to_vec(&pair).unwrap_or_default();
            let read = match metadata.put(PAIR_KEY.to_owned(), value, Revision(revision)).await {
                PutOutcome::Written(at) => Some(StoredPair { record: Some(pair), revision: at.0 }),
                // Whatever became of it, the store knows.
                PutOutcome::Conflict | PutOutcome::Unknown => {
                    tokio::time::sleep(PAIR_RETRY).await;
                    metadata.get(PAIR_KEY.to_owned()).await.map(|item| read_pair(&item))
                }
            };
            let _ = reads.send(read);
        });
    }

    /// Reports how far a machine is drained, until the store has it.
    pub(super) fn report_drain(&self, machine: Arc<str>, state: DrainState) {
        let fields = [Field::text("machine", &machine), Field::text("state", format!("{state:?}"))];
        record(LogEvent::EmptyingReported, &fields);
        let metadata = self.metadata.clone();
        tokio::spawn(async move {
            while !metadata.report_drain(machine.clone(), state).await {
                tokio::time::sleep(DRAIN_RETRY).await;
            }
        });
    }
}

/// The pair's record as the store has it.
fn read_pair(item: &MetadataItem) -> StoredPair {
    let record = item.value().and_then(|value| serde_json::from_slice(value).ok());
    StoredPair { record, revision: item.revision.0 }
}
