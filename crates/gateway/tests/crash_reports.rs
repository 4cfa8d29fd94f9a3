//! Guards against a wave of crashes in which each machine writes its crash record again and again: all gateways together
//! would exceed the rate of writes that the metadata store accepts.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::crashes::{CrashReport, RequestContent, RequestKeys};
use stallmoor_core::serving::jobs::members::DrainState;
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};
use stallmoor_core::serving::relay::outage::RecordGrace;
use stallmoor_core::serving::request::RequestAttributes;
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::time::Millis;
use stallmoor_gateway::adapter::metadata::{
    BoxFuture, FleetUpdate, ItemSnapshot, MetadataStore, PutOutcome, ReadFailure,
};
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::crash_reports::report_crashes;
use stallmoor_gateway::fleet::fleet_view::{FleetView, ObservedCrash};

const CRASHES: u64 = 200;
const CRASH_INTERVAL: Duration = Duration::from_millis(10);

/// A metadata store that keeps the crash reports written to it, and refuses some of the writes.
#[derive(Default)]
struct Store {
    written: Mutex<Vec<CrashReport>>,
    calls: Mutex<u64>,
    refuses: bool,
}

impl MetadataStore for Store {
    fn put(&self, _key: String, value: Vec<u8>, _expected: Revision) -> BoxFuture<'_, PutOutcome> {
        *self.calls.lock().expect("not poisoned") += 1;
        if self.refuses {
            return Box::pin(async { PutOutcome::Unknown });
        }
        let report = serde_json::from_slice(&value).expect("a crash report");
        self.written.lock().expect("not poisoned").push(report);
        Box::pin(async { PutOutcome::Written(Revision(1)) })
    }

    fn get(&self, _key: String) -> BoxFuture<'_, Option<MetadataItem>> {
        Box::pin(async { None })
    }

    fn list(&self) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>> {
        Box::pin(async { Err(ReadFailure::TimedOut) })
    }

    fn changes(&self, _since: Revision, _wait: Millis) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>> {
        Box::pin(async { Err(ReadFailure::TimedOut) })
    }

    fn interpret(&self, _item: &MetadataItem, _grace: &RecordGrace) -> Option<FleetUpdate> {
        None
    }

    fn report_drain(&self, _machine: Arc<str>, _state: DrainState) -> BoxFuture<'_, bool> {
        Box::pin(async { true })
    }
}

fn crash(number: u64) -> ObservedCrash {
    let keys = RequestKeys::of(&RequestContent {
        identity: &CallerIdentity::Unchecked,
        method: "POST",
        target: "/a",
        attributes: &RequestAttributes::default(),
        body: &number.to_le_bytes(),
    });
    let worker = WorkerId(Arc::from(format!("w-{number}")));
    ObservedCrash { request: Arc::from(format!("r-{number}")), keys, worker, progress: 0 }
}

/// Reports [`CRASHES`] crashes, one each [`CRASH_INTERVAL`], as one of `gateways` gateways.
async fn report_wave(gateways: u32, store: Store) -> Arc<Store> {
    let store = Arc::new(store);
    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from("zone"), 1));
    view.record_gateway_count(gateways);
    let reporter = tokio::spawn(report_crashes(view.clone(), store.clone(), "machine".to_owned()));
    for number in 0..CRASHES {
        view.record_crash(&crash(number));
        tokio::time::sleep(CRASH_INTERVAL).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    reporter.abort();
    store
}

#[tokio::test(start_paused = true)]
async fn crash_waves_are_written_at_a_rate_that_does_not_grow_with_the_fleet() {
    for (gateways, max_writes) in [(250, 7), (2_000, 3)] {
        let store = report_wave(gateways, Store::default()).await;
        let written = store.written.lock().expect("not poisoned");
        assert!(written.len() <= max_writes, "{gateways} gateways: {} writes", written.len());
        let crashes: Vec<usize> = written.iter().map(|report| report.crashes.len()).collect();
        assert!(crashes[0] <= 11, "the first crashes are reported at once: {crashes:?}");
        let max_reported = 65_536 / gateways as usize;
        assert_eq!(crashes.last(), Some(&max_reported.min(CRASHES as usize)), "{crashes:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn refused_writes_are_retried_at_a_rate_that_does_not_grow_with_the_fleet() {
    let store = report_wave(2_000, Store { refuses: true, ..Store::default() }).await;
    let calls = *store.calls.lock().expect("not poisoned");
    assert!((2..=5).contains(&calls), "{calls} calls within four seconds");
}
