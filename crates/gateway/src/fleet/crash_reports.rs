//! Publishes the requests that crashed workers in this machine's record in the metadata store.
//!
//! Other nodes receive the record with the rest of the store's contents, directly or through a relay. Reports therefore
//! need no leader and survive a restart of this process.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::serving::crashes::CrashReport;
use stallmoor_core::serving::crashes::report::{max_reported_crashes, min_report_interval};
use stallmoor_core::serving::relay::item::Revision;

use crate::adapter::metadata::{MetadataStore, PutOutcome};
use crate::fleet::fleet_view::{FleetView, parse_record};

/// Prefix of the keys of crash reports, which are stored per machine.
pub const CRASH_KEY_PREFIX: &str = "stallmoor/crashes/";
/// Delay between a crash and the write of the record. A worker crash often affects several requests, which are reported
/// by one write.
const WRITE_DELAY: Duration = Duration::from_millis(100);
/// Minimum delay before retrying a failed read or a write with an unknown outcome.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

struct MachineRecord {
    key: String,
    /// The last report that this process has written.
    written: CrashReport,
    revision: Revision,
}

/// Writes this node's crash reports to the store until the process ends.
pub async fn report_crashes(view: Arc<FleetView>, metadata: Arc<dyn MetadataStore>, machine: String) {
    let key = format!("{CRASH_KEY_PREFIX}{machine}");
    let mut record = MachineRecord { key, written: CrashReport::default(), revision: Revision(0) };
    loop {
        view.crashes_changed().await;
        tokio::time::sleep(WRITE_DELAY).await;
        record.write(&view, &*metadata).await;
        tokio::time::sleep(min_interval(&view)).await;
    }
}

fn min_interval(view: &FleetView) -> Duration {
    Duration::from_millis(min_report_interval(view.gateways()).0)
}

impl MachineRecord {
    /// Retries until the store contains a report that is current when it is written.
    async fn write(&mut self, view: &FleetView, metadata: &dyn MetadataStore) {
        loop {
            let report = view.crashes().report_up_to(max_reported_crashes(view.gateways()));
            if report == self.written {
                return;
            }
            // Serialization can't fail: the report contains only numbers and strings.
            let value = serde_json::to_vec(&report).unwrap_or_default();
            match metadata.put(self.key.clone(), value, self.revision).await {
                PutOutcome::Written(revision) => {
                    self.written = report;
                    self.revision = revision;
                    return;
                }
                PutOutcome::Conflict => self.read(view, metadata).await,
                PutOutcome::Unknown => wait_before_retry(view).await,
            }
        }
    }

    /// Merges the stored record, which an earlier process on this machine or a call whose answer was lost has written.
    async fn read(&mut self, view: &FleetView, metadata: &dyn MetadataStore) {
        let Some(item) = metadata.get(self.key.clone()).await else {
            return wait_before_retry(view).await;
        };
        self.revision = if item.value().is_some() { item.revision } else { Revision(0) };
        if let Some(report) = parse_record(&item) {
            view.merge_crashes(&report, true);
        }
    }
}

async fn wait_before_retry(view: &FleetView) {
    tokio::time::sleep(min_interval(view).max(MIN_RETRY_DELAY)).await;
}
