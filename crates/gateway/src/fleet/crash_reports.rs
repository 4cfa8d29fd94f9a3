//! Telling other nodes under which requests workers died: this node's record in the metadata store.
//!
//! Owns the one record of this machine. Others read it with all else that the store holds, directly or through a relay, so
//! that it reaches them without a leader, and outlasts this process.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::serving::crashes::CrashReport;
use stallmoor_core::serving::relay::item::Revision;

use crate::adapter::metadata::{MetadataStore, PutOutcome};
use crate::fleet::fleet_view::{FleetView, read_record};

/// The keys of machines' crash reports begin so.
pub const CRASH_KEY_PREFIX: &str = "stallmoor/crashes/";
/// The wait between a crash and the record's write, in milliseconds: one worker that dies takes several requests with
/// it, and one call of the store is enough for them.
const GATHER_WAIT: Duration = Duration::from_millis(100);
/// The wait after a write whose outcome is not known, in milliseconds. Spares a store that is down.
const RETRY_WAIT: Duration = Duration::from_millis(300);

/// The record of one machine.
struct OwnRecord {
    key: String,
    /// What the store has, as far as this process knows.
    written: CrashReport,
    revision: Revision,
}

/// Writes what this node learns of crashes until the process ends.
pub async fn report_crashes(view: Arc<FleetView>, metadata: Arc<dyn MetadataStore>, machine: String) {
    let key = format!("{CRASH_KEY_PREFIX}{machine}");
    let mut own = OwnRecord { key, written: CrashReport::default(), revision: Revision(0) };
    loop {
        view.crashes_changed().await;
        tokio::time::sleep(GATHER_WAIT).await;
        own.write(&view, &*metadata).await;
    }
}

impl OwnRecord {
    /// Writes until the store has what this node knows.
    async fn write(&mut self, view: &FleetView, metadata: &dyn MetadataStore) {
        loop {
            let report = view.crashes().report();
            if report == self.written {
                return;
            }
            // Can't fail: the report is of numbers and names only.
            let value = serde_json::to_vec(&report).unwrap_or_default();
            match metadata.put(self.key.clone(), value, self.revision).await {
                PutOutcome::Written(revision) => {
                    self.written = report;
                    self.revision = revision;
                }
                PutOutcome::Conflict => self.read(view, metadata).await,
                PutOutcome::Unknown => tokio::time::sleep(RETRY_WAIT).await,
            }
        }
    }

    /// Reads the record that this machine wrote before its start, or by a call whose answer was lost.
    async fn read(&mut self, view: &FleetView, metadata: &dyn MetadataStore) {
        let Some(item) = metadata.get(self.key.clone()).await else {
            return tokio::time::sleep(RETRY_WAIT).await;
        };
        self.revision = if item.value().is_some() { item.revision } else { Revision(0) };
        if let Some(report) = read_record(&item) {
            view.merge_crashes(&report, true);
        }
    }
}
