//! Guards against a wave of crashes in which each machine writes its crash record again and again: all gateways together
//! would exceed the rate of writes that the metadata store accepts.

#[path = "support/recording_store.rs"]
mod recording_store;

use std::sync::Arc;
use std::time::Duration;

use recording_store::{RecordingStore, Write};
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::crashes::{CrashReport, CrashedRun, IncompleteEnd, RequestContent, RequestKeys};
use stallmoor_core::serving::relay::item::Revision;
use stallmoor_core::serving::request::RequestAttributes;
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::time::Millis;
use stallmoor_gateway::adapter::metadata::PutOutcome;
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::crash_reports::report_crashes;
use stallmoor_gateway::fleet::crash_view::ObservedCrash;
use stallmoor_gateway::fleet::fleet_view::FleetView;

const CRASHES: u64 = 200;
const CRASH_INTERVAL: Duration = Duration::from_millis(10);

fn crash(number: u64) -> ObservedCrash {
    let keys = RequestKeys::of(&RequestContent {
        identity: &CallerIdentity::Unchecked,
        method: "POST",
        target: "/a",
        attributes: &RequestAttributes::default(),
        body: &number.to_le_bytes(),
    });
    let worker = WorkerId(Arc::from(format!("w-{number}")));
    ObservedCrash {
        request: Arc::from(format!("r-{number}")),
        keys,
        worker,
        progress: 0,
        has_survived: false,
        is_item: false,
        end: IncompleteEnd::BrokenOff,
        run: CrashedRun { service: Arc::from("s"), workers: 9, lasted: Millis(100), events: 0 },
    }
}

/// Reports [`CRASHES`] crashes, one each [`CRASH_INTERVAL`], as one of `gateways` gateways.
async fn report_wave(gateways: u32, store: Arc<RecordingStore>) -> Vec<Write> {
    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from("zone"), 1));
    view.record_gateway_count(gateways);
    let reporter = tokio::spawn(report_crashes(view.clone(), store.clone(), "machine".to_owned()));
    for number in 0..CRASHES {
        view.record_crash(&crash(number));
        tokio::time::sleep(CRASH_INTERVAL).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    reporter.abort();
    store.writes()
}

#[tokio::test(start_paused = true)]
async fn crash_waves_are_written_at_a_rate_that_does_not_grow_with_the_fleet() {
    for (gateways, max_writes) in [(250, 7), (2_000, 3)] {
        let writes = report_wave(gateways, RecordingStore::new(PutOutcome::Written(Revision(1)))).await;
        assert!(writes.iter().all(|write| write.key == "stallmoor/crashes/machine"));
        assert!(writes.len() <= max_writes, "{gateways} gateways: {} writes", writes.len());
        let reports = writes.iter().map(|write| serde_json::from_str::<CrashReport>(&write.value));
        let crashes: Vec<usize> = reports.map(|report| report.expect("a crash report").crashes.len()).collect();
        assert!(crashes[0] <= 11, "the first crashes are reported at once: {crashes:?}");
        let max_reported = 65_536 / gateways as usize;
        assert_eq!(crashes.last(), Some(&max_reported.min(CRASHES as usize)), "{crashes:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn refused_writes_are_retried_at_a_rate_that_does_not_grow_with_the_fleet() {
    let calls = report_wave(2_000, RecordingStore::new(PutOutcome::Unknown)).await.len();
    assert!((2..=5).contains(&calls), "{calls} calls within four seconds");
}
