//! After an outage of the metadata store, workers whose records are missing must stay usable for the grace period and no
//! longer. Runs on a paused clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::members::DrainState;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::outage::RecordGrace;
use stallmoor_core::serving::workers::{SoftwareVersion, WorkerId, WorkerRecord};
use stallmoor_core::time::Millis;
use stallmoor_gateway::adapter::metadata::{
    BoxFuture, FleetUpdate, ItemSnapshot, MetadataStore, PutOutcome, ReadFailure,
};
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::fleet_view::FleetView;
use stallmoor_gateway::fleet::metadata_view::MetadataView;
use stallmoor_gateway::fleet::metadata_watch::MetadataWatch;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const BOUNDS: WatchBounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
/// Timeout of a call, in addition to its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const SERVICE: &str = "service";
const REMAINING: &str = "stays";
const DEPARTING: &str = "leaves";
/// Number of runs of each test, each with another seed for the pauses between the node's calls.
const RUNS: u64 = 40;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[derive(Default)]
struct Contents {
    revision: u64,
    /// The revision of each present record.
    records: BTreeMap<&'static str, u64>,
    /// All changes: revision, record, and whether it was written (true) or removed (false).
    history: Vec<(u64, &'static str, bool)>,
}

/// The store as seen by one node: unreachable during `outage`, relative to the start of the store.
struct Store {
    started: Instant,
    outage: Range<Duration>,
    contents: Mutex<Contents>,
    changed: watch::Sender<u64>,
}

impl Store {
    fn new(outage: Range<Duration>) -> Arc<Self> {
        let (contents, changed) = (Mutex::default(), watch::Sender::new(0));
        let store = Arc::new(Self { started: Instant::now(), outage, contents, changed });
        store.write(REMAINING);
        store.write(DEPARTING);
        store
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().expect("not poisoned")
    }

    fn write(&self, worker: &'static str) {
        self.change(worker, true);
    }

    fn remove(&self, worker: &'static str) {
        self.change(worker, false);
    }

    fn change(&self, worker: &'static str, is_written: bool) {
        let mut contents = self.contents();
        contents.revision += 1;
        let revision = contents.revision;
        contents.history.push((revision, worker, is_written));
        if is_written {
            contents.records.insert(worker, revision);
        } else {
            contents.records.remove(worker);
        }
        drop(contents);
        self.changed.send_replace(revision);
    }

    fn is_unreachable(&self) -> bool {
        self.outage.contains(&self.started.elapsed())
    }

    /// Runs a call, which times out if the store is unreachable at its start or its end.
    async fn call<T>(&self, within: Duration, answer: impl Future<Output = T>) -> Result<T, ReadFailure> {
        let begun = Instant::now();
        if !self.is_unreachable()
            && let Ok(answer) = timeout(within, answer).await
            && !self.is_unreachable()
        {
            return Ok(answer);
        }
        sleep_until(begun + within).await;
        Err(ReadFailure::TimedOut)
    }

    fn list_now(&self) -> ItemSnapshot {
        let contents = self.contents();
        let items = contents.records.iter().map(|(worker, revision)| item(worker, true, *revision)).collect();
        ItemSnapshot { items, at: Revision(contents.revision) }
    }

    fn changes_after(&self, since: Revision) -> ItemSnapshot {
        let contents = self.contents();
        let later = contents.history.iter().filter(|(revision, ..)| *revision > since.0);
        let items = later.map(|(revision, worker, is_written)| item(worker, *is_written, *revision)).collect();
        ItemSnapshot { items, at: Revision(contents.revision) }
    }

    async fn wait_for_changes(&self, since: Revision, wait: Duration) -> ItemSnapshot {
        let mut changes = self.changed.subscribe();
        // After a timeout the answer is empty.
        let _ = timeout(wait, changes.wait_for(|revision| *revision > since.0)).await;
        self.changes_after(since)
    }
}

fn item(worker: &str, is_written: bool, revision: u64) -> MetadataItem {
    let state = if is_written { KeyState::Present(Arc::from([])) } else { KeyState::Removed };
    MetadataItem { key: Arc::from(worker), state, revision: Revision(revision) }
}

fn record(worker: &str) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from(worker)),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Arc::from("zone-a"),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
        version: SoftwareVersion::new("v1"),
    }
}

impl MetadataStore for Store {
    fn put(&self, _key: String, _value: Vec<u8>, _expected: Revision) -> BoxFuture<'_, PutOutcome> {
        Box::pin(async { PutOutcome::Unknown })
    }

    fn get(&self, _key: String) -> BoxFuture<'_, Option<MetadataItem>> {
        Box::pin(async { None })
    }

    fn list(&self) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>> {
        Box::pin(self.call(CALL_TIMEOUT, async { self.list_now() }))
    }

    fn changes(&self, since: Revision, wait: Millis) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>> {
        let wait = Duration::from_millis(wait.0);
        Box::pin(self.call(wait + CALL_TIMEOUT, self.wait_for_changes(since, wait)))
    }

    fn interpret(&self, item: &MetadataItem, grace: &RecordGrace) -> Option<FleetUpdate> {
        let worker = WorkerId(item.key.clone());
        Some(match &item.state {
            KeyState::Present(_) => FleetUpdate::Worker(record(&worker.0)),
            KeyState::Removed | KeyState::Lapsed => FleetUpdate::without_record(worker, &item.state, grace),
        })
    }

    fn report_drain(&self, _machine: Arc<str>, _state: DrainState) -> BoxFuture<'_, bool> {
        Box::pin(async { true })
    }
}

/// Starts a node that follows the store. `seed` determines the pauses between its calls.
fn start_node(store: &Arc<Store>, seed: u64) -> Arc<FleetView> {
    let clock = NodeClock::start();
    let fleet = Arc::new(FleetView::new(clock, Arc::from("zone-a"), seed));
    let view = Arc::new(MetadataView::new(clock, BOUNDS));
    let (updates, mut received) = mpsc::unbounded_channel();
    tokio::spawn(MetadataWatch::new(NodeId(1), store.clone(), fleet.clone(), view, BOUNDS, updates).run());
    let applied = fleet.clone();
    tokio::spawn(async move {
        while let Some(update) = received.recv().await {
            applied.apply(&update);
        }
    });
    fleet
}

fn ready_count(fleet: &FleetView) -> usize {
    fleet.workers().ready_count(SERVICE, fleet.clock.now())
}

#[tokio::test(start_paused = true)]
async fn a_worker_removed_during_an_outage_gets_no_requests_after_the_contact_bound() {
    for seed in 0..RUNS {
        let recovered_at = seconds(14.0 + 0.037 * seed as f64);
        let store = Store::new(seconds(5.0)..recovered_at);
        let fleet = start_node(&store, seed);
        sleep_until(store.started + seconds(4.0)).await;
        assert_eq!(ready_count(&fleet), 2, "not all workers are ready before the outage (seed {seed})");
        sleep_until(store.started + seconds(7.0)).await;
        store.remove(DEPARTING);
        sleep_until(store.started + recovered_at + Duration::from_millis(BOUNDS.contact.0)).await;
        let checked_from = Instant::now();
        while checked_from.elapsed() < seconds(4.0) {
            let after = checked_from.elapsed();
            assert_eq!(
                ready_count(&fleet),
                1,
                "not exactly one worker is ready {after:?} after the contact bound (seed {seed})"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn workers_whose_records_expired_during_an_outage_stay_ready_while_the_records_may_reappear() {
    for seed in 0..RUNS {
        let recovered_at = seconds(9.5 + 0.037 * seed as f64);
        let store = Store::new(seconds(5.0)..recovered_at);
        let fleet = start_node(&store, seed);
        sleep_until(store.started + seconds(8.6)).await;
        store.remove(REMAINING);
        store.remove(DEPARTING);
        sleep_until(store.started + recovered_at).await;
        while store.started.elapsed() < recovered_at + seconds(1.0) {
            let after = store.started.elapsed() - recovered_at;
            assert_eq!(ready_count(&fleet), 2, "{after:?} after the end of the outage (seed {seed})");
            sleep(Duration::from_millis(20)).await;
        }
        store.write(REMAINING);
        sleep_until(store.started + recovered_at + seconds(6.0)).await;
        assert_eq!(ready_count(&fleet), 1, "only the worker with a rewritten record should be ready (seed {seed})");
    }
}

#[tokio::test(start_paused = true)]
async fn a_worker_whose_record_does_not_reappear_after_an_outage_is_removed_after_the_contact_bound() {
    for seed in 0..RUNS {
        let recovered_at = seconds(9.5 + 0.037 * seed as f64);
        let store = Store::new(seconds(5.0)..recovered_at);
        let fleet = start_node(&store, seed);
        sleep_until(store.started + seconds(8.6)).await;
        store.remove(DEPARTING);
        sleep_until(store.started + recovered_at + Duration::from_millis(BOUNDS.contact.0)).await;
        assert_eq!(ready_count(&fleet), 1, "the worker without a record is still ready (seed {seed})");
    }
}
