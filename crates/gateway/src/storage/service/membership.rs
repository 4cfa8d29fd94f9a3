//! Carrying out what is due of the membership, and telling the metadata store.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::members::{DrainState, MembersAction};
use stallmoor_core::serving::jobs::pair::{PairRecord, StoredPair};
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};

use super::StorageService;
use crate::adapter::metadata::PutOutcome;
use crate::observe::journal::{Field, record};
use crate::storage::registration::PAIR_KEY;

/// The wait before an emptying is reported again.
const EMPTYING_RETRY: Duration = Duration::from_millis(250);
/// The wait before the pair's record is read after a write that did not succeed.
const PAIR_RETRY: Duration = Duration::from_millis(200);

impl StorageService {
    /// Carries out what is due of the membership.
    pub(super) fn keep_members(&mut self) {
        let now = self.now();
        let directory = self.workers.view.storage().clone();
        let actions = self.members.plan(self.node.replica(), self.leads, &directory, now);
        for action in actions {
            match action {
                MembersAction::Change(change) => {
                    record(LogEvent::MembershipChanging, &[Field::text("change", format!("{change:?}"))]);
                    let effects = self.node.change_membership(change, now);
                    self.take(effects);
                }
                MembersAction::HandOver(target) => {
                    let effects = self.node.transfer_leadership(target, now);
                    self.take(effects);
                }
                MembersAction::WritePair { record, revision } => self.write_pair(record, revision),
                MembersAction::GoOnAlone => {
                    let index = self.node.replica().log().membership_index().0;
                    record(LogEvent::WentOnAlone, &[Field::number("membership", index)]);
                    let effects = self.node.continue_alone(now);
                    self.take(effects);
                }
                MembersAction::ReportDrain { machine, state } => self.report_drain(machine, state),
            }
        }
    }

    pub(super) fn write_pair(&self, pair: PairRecord, revision: u64) {
        record(LogEvent::PairRecorded, &[Field::text("record", format!("{pair:?}"))]);
        let (metadata, reads) = (self.metadata.clone(), self.pair_reads.clone());
        tokio::spawn(async move {
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

    pub(super) fn report_drain(&self, machine: Arc<str>, state: DrainState) {
        let fields = [Field::text("machine", &machine), Field::text("state", format!("{state:?}"))];
        record(LogEvent::EmptyingReported, &fields);
        let metadata = self.metadata.clone();
        tokio::spawn(async move {
            while !metadata.report_drain(machine.clone(), state).await {
                tokio::time::sleep(EMPTYING_RETRY).await;
            }
        });
    }
}

/// The pair's record as the store holds it.
pub(super) fn read_pair(item: &MetadataItem) -> StoredPair {
    let record = item.value().and_then(|value| serde_json::from_slice(value).ok());
    StoredPair { record, revision: item.revision.0 }
}
