//! Compares peer frames and metadata store records with golden files, to catch changes that break compatibility between
//! versions.

#[path = "../../core/tests/support/golden.rs"]
mod golden;
#[path = "support/recording_store.rs"]
mod recording_store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use golden::{Row, check_rows, from_hex, to_hex};
use recording_store::RecordingStore;
use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_core::replication::{GroupMembership, LogIndex};
use stallmoor_core::serving::crashes::report::{Completion, Crash};
use stallmoor_core::serving::crashes::{CrashReport, RequestDigest};
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::pair::{PairRecord, PairState};
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::time::UnixMillis;
use stallmoor_gateway::adapter::metadata::{FleetUpdate, PutOutcome};
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::crash_reports::CRASH_KEY_PREFIX;
use stallmoor_gateway::fleet::fleet_view::FleetView;
use stallmoor_gateway::peers::frames::{read_message, write_frame};
use stallmoor_gateway::storage::registration::{PAIR_KEY, bootstrap_group, register};
use tokio::sync::mpsc;

#[tokio::test]
async fn peer_frames_match_golden_file() {
    let message = PeerMessage::StatusRequest { from: NodeId(1), id: 5 };
    let mut frame = Vec::new();
    write_frame(&mut frame, &stallmoor_wire::encode(&message)).await.expect("writing to memory succeeds");
    for row in check_rows("frames.txt", &[Row::new("status-request", &to_hex(&frame))]) {
        let read =
            read_message(&mut &from_hex(&row.text)[..], stallmoor_wire::MAX_FRAME_BYTES).await.expect("frame is valid");
        assert_eq!(read, message, "{}", row.name);
    }
}

fn storage_record(node: u64) -> StorageRecord {
    StorageRecord {
        name: Arc::from(format!("storage-{node}")),
        node: NodeId(node),
        address: SocketAddr::from(([192, 0, 2, node as u8], 7100)),
        zone: Arc::from(format!("zone-{node}")),
    }
}

/// Registers three storage nodes, bootstraps the group at the first one, and returns the records written.
async fn register_and_bootstrap() -> Vec<Row> {
    let store = RecordingStore::new(PutOutcome::Written(Revision(1)));
    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from("zone-1"), 1));
    for record in (1..=3).map(storage_record) {
        register(store.clone(), record.clone()).await;
        view.storage().upsert(record);
    }
    view.apply(&FleetUpdate::Synced);
    let (memberships, _received) = mpsc::unbounded_channel();
    let bootstrap = bootstrap_group(view, store.clone(), NodeId(1), 1, memberships);
    // Bootstrap waits until the view contains the record just written, which never happens in this test.
    assert!(tokio::time::timeout(Duration::from_millis(100), bootstrap).await.is_err());
    let writes = store.writes();
    writes.iter().map(|write| Row::new(&write.key, &write.value)).collect()
}

fn pair_row() -> Row {
    let voters = [NodeId(1), NodeId(2)].into();
    let record = PairRecord { index: LogIndex(12), voters, state: PairState::Survived(NodeId(2)) };
    Row::new(PAIR_KEY, &serde_json::to_string(&record).expect("record serializes"))
}

/// In the year 2100, because old crashes expire.
const CRASHED_AT: UnixMillis = UnixMillis(4_102_444_800_000);

fn crashing_digest() -> RequestDigest {
    "00c0ffee00000007".parse().expect("valid digest")
}

fn crash_row() -> Row {
    let crash = |number| Crash {
        digest: crashing_digest(),
        worker: WorkerId(Arc::from(format!("i-{number}"))),
        at: CRASHED_AT,
        progress: number,
        run: None,
    };
    let completion = Completion { digest: "1".parse().expect("valid digest"), at: CRASHED_AT };
    let report =
        CrashReport { crashes: (0..3).map(crash).collect(), completions: vec![completion], ..CrashReport::default() };
    Row::new(&format!("{CRASH_KEY_PREFIX}edge-1"), &serde_json::to_string(&report).expect("record serializes"))
}

#[tokio::test(start_paused = true)]
async fn metadata_store_records_match_golden_file() {
    let mut rows = register_and_bootstrap().await;
    rows.push(pair_row());
    rows.push(crash_row());
    let stored = check_rows("metadata-store.txt", &rows);

    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from("zone-1"), 1));
    for row in &stored {
        let state = KeyState::Present(Arc::from(row.text.as_bytes()));
        let item = MetadataItem { key: Arc::from(&*row.name), state, revision: Revision(1) };
        view.apply(&FleetUpdate::InternalItem(item));
    }
    let records: Vec<StorageRecord> = view.storage().records().cloned().collect();
    assert_eq!(records, (1..=3).map(storage_record).collect::<Vec<_>>());

    assert!(view.crashes().quarantined_for(crashing_digest(), CRASHED_AT).is_some());

    let (memberships, mut received) = mpsc::unbounded_channel();
    bootstrap_group(view, RecordingStore::new(PutOutcome::Written(Revision(1))), NodeId(1), 1, memberships).await;
    assert_eq!(received.recv().await, Some(GroupMembership::of_voters((1..=3).map(NodeId))));
}
