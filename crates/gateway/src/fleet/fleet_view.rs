//! What this node knows of the fleet: the configuration in force, the workers, the storing nodes.
//!
//! Owns these tables and the process's source of randomness; relies on the updates that [`super::metadata_watch`]
//! sends.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::de::DeserializeOwned;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::retry_budget::RetryBudget;
use stallmoor_core::serving::configuration::GatewayConfiguration;
use stallmoor_core::serving::crashes::{CrashCount, CrashLedger, CrashReport, Quarantine, RequestDigest, RequestKeys};
use stallmoor_core::serving::jobs::directory::{FoundingRecord, StorageDirectory, StorageRecord};
use stallmoor_core::serving::online::RETRY_LIMITS;
use stallmoor_core::serving::quota::fleet_size::FleetSize;
use stallmoor_core::serving::regions::RegionMap;
use stallmoor_core::serving::relay::item::MetadataItem;
use stallmoor_core::serving::workers::{WorkerChange, WorkerId, WorkerTable};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::{Notify, watch};

use crate::adapter::metadata::FleetUpdate;
use crate::clock::NodeClock;
use crate::fleet::crash_reports::CRASH_KEY_PREFIX;
use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// The product's keys of storing nodes begin so.
pub const STORAGE_KEY_PREFIX: &str = "stallmoor/storage/";
/// The key of the founding record of the job table's group. It is written once.
pub const FOUNDING_KEY: &str = "stallmoor/jobs/founding";

/// A worker that died while it ran a request of this node.
#[derive(Clone, Debug)]
pub struct ObservedCrash {
    /// The request's id.
    pub request: Arc<str>,
    /// Its names.
    pub keys: RequestKeys,
    /// The worker.
    pub worker: WorkerId,
    /// The last event of the request's answer, 0 for none.
    pub progress: u64,
}

/// What this node knows of the fleet, and who waits for changes of it.
pub struct FleetView {
    /// The node's clocks.
    pub clock: NodeClock,
    /// The node's zone.
    pub zone: Arc<str>,
    /// In which region each zone lies.
    pub regions: RegionMap,
    configuration: Mutex<Option<Arc<GatewayConfiguration>>>,
    workers: Mutex<WorkerTable>,
    storage: Mutex<StorageDirectory>,
    founding: Mutex<Option<FoundingRecord>>,
    crashes: Mutex<CrashLedger>,
    size: Mutex<FleetSize>,
    /// Notified when this node learned of a crash, or of a request's run to its end that others may need to know.
    crash_facts: Notify,
    random: Mutex<Xoshiro256PlusPlus>,
    retry_budget: Mutex<RetryBudget>,
    /// The store's contents were read once.
    is_synced: AtomicBool,
    changed: watch::Sender<u64>,
}

impl FleetView {
    /// A view that knows nothing yet.
    pub fn new(clock: NodeClock, zone: Arc<str>, seed: u64) -> Self {
        Self {
            clock,
            zone,
            configuration: Mutex::default(),
            regions: RegionMap::default(),
            workers: Mutex::default(),
            storage: Mutex::default(),
            founding: Mutex::default(),
            crashes: Mutex::default(),
            size: Mutex::default(),
            crash_facts: Notify::new(),
            random: Mutex::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
            retry_budget: Mutex::new(RetryBudget::new(RETRY_LIMITS)),
            is_synced: AtomicBool::new(false),
            changed: watch::Sender::new(0),
        }
    }

    /// The same view in a fleet of several regions.
    pub fn with_regions(self, regions: RegionMap) -> Self {
        let workers = Mutex::new(WorkerTable::with_regions(regions.clone()));
        Self { regions, workers, ..self }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<GatewayConfiguration>> {
        lock(&self.configuration).clone()
    }

    /// The configuration in force. A node that has just started waits up to `within` for its first view of
    /// the fleet.
    pub async fn wait_for_configuration(&self, within: Duration) -> Option<Arc<GatewayConfiguration>> {
        let mut changes = self.changes();
        let is_known = |_: &u64| self.is_synced() && self.configuration().is_some();
        // Whatever is known by then has to do.
        let _ = tokio::time::timeout(within, changes.wait_for(is_known)).await;
        self.configuration()
    }

    /// The workers.
    pub fn workers(&self) -> MutexGuard<'_, WorkerTable> {
        lock(&self.workers)
    }

    /// The storing nodes.
    pub fn storage(&self) -> MutexGuard<'_, StorageDirectory> {
        lock(&self.storage)
    }

    /// Whether the store's contents were read once.
    pub fn is_synced(&self) -> bool {
        self.is_synced.load(Ordering::Relaxed)
    }

    /// The founding record of the job table's group, once it is known.
    pub fn founding(&self) -> Option<FoundingRecord> {
        lock(&self.founding).clone()
    }

    /// So many gateways exchange loads with each other.
    pub fn record_gateway_count(&self, gateways: u32) {
        lock(&self.size).record(gateways, self.clock.now());
    }

    /// How many gateways there are, those out of reach included; 0 if nothing is known.
    pub fn gateways(&self) -> u32 {
        lock(&self.size).gateways()
    }

    /// The requests under which workers died.
    pub fn crashes(&self) -> MutexGuard<'_, CrashLedger> {
        lock(&self.crashes)
    }

    /// Whether no crash is known of any request.
    pub fn has_no_crashes(&self) -> bool {
        self.crashes().is_empty()
    }

    /// For how long a request is to be kept from all workers; `None` if it may run.
    pub fn quarantined_for(&self, keys: RequestKeys) -> Option<Millis> {
        let now = self.clock.wall_time();
        let crashes = self.crashes();
        keys.digests().filter_map(|digest| crashes.quarantined_for(digest, now)).max()
    }

    /// Whether one crash more would quarantine a request.
    pub fn is_near_quarantine(&self, keys: RequestKeys) -> bool {
        let crashes = self.crashes();
        keys.digests().any(|digest| crashes.is_near_quarantine(digest))
    }

    /// A worker died while it ran a request.
    pub fn record_crash(&self, crash: &ObservedCrash) {
        for digest in crash.keys.digests() {
            let (quarantine, count) = {
                let mut crashes = self.crashes();
                let quarantine = crashes.crashed(digest, crash.worker.clone(), crash.progress, self.clock.wall_time());
                (quarantine, crashes.count(digest))
            };
            let fields = [
                Field::text("worker", &crash.worker),
                Field::text("request", &crash.request),
                Field::text("digest", digest),
                Field::number("events", crash.progress),
                Field::number("known", count.known as u64),
                Field::number("counted", count.counted as u64),
            ];
            record(LogEvent::WorkerCrashed, &fields);
            self.log_quarantine(quarantine);
        }
        self.crash_facts.notify_one();
    }

    /// A request ran to its end.
    pub fn record_completion(&self, request: &str, keys: RequestKeys) {
        let now = self.clock.wall_time();
        for digest in keys.digests() {
            let Some(before) = self.crashes().completed(digest, now) else { continue };
            self.crash_facts.notify_one();
            log_cleared(request, digest, before);
        }
    }

    /// Takes a machine's report of crashes.
    pub fn merge_crashes(&self, report: &CrashReport, is_own: bool) {
        let quarantines = self.crashes().merge(report, is_own, self.clock.wall_time());
        for quarantine in quarantines {
            self.log_quarantine(Some(quarantine));
        }
    }

    /// Waits until this node has something new to report of crashes.
    pub async fn crashes_changed(&self) {
        self.crash_facts.notified().await;
    }

    fn log_quarantine(&self, quarantine: Option<Quarantine>) {
        let Some(Quarantine { digest, crashes, until }) = quarantine else { return };
        let fields = [
            Field::text("digest", digest),
            Field::number("crashes", crashes as u64),
            Field::number("for_ms", until.0.saturating_sub(self.clock.wall_time().0)),
        ];
        record(LogEvent::RequestQuarantined, &fields);
    }

    /// The source of all that is random in this process.
    pub fn random(&self) -> MutexGuard<'_, Xoshiro256PlusPlus> {
        lock(&self.random)
    }

    /// The budget for moving requests away from slow workers.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Counts changes of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The memory of one worker of a service, in tokens; 0 if not known.
    pub fn worker_cache_tokens(&self, service: &str) -> u64 {
        let configuration = self.configuration();
        configuration.and_then(|known| known.services.get(service).map(|found| found.cache_tokens)).unwrap_or(0)
    }

    /// Applies an update.
    pub fn apply(&self, update: &FleetUpdate) {
        match update {
            FleetUpdate::Configuration(configuration) => self.take_configuration(configuration),
            FleetUpdate::Worker(worker) => {
                let change = self.workers().apply_record(worker.clone(), self.clock.now());
                log_worker(change, Some(Field::text("address", worker.address)));
            }
            FleetUpdate::WorkerGone { worker, usable_until } => self.remove_worker(worker, *usable_until),
            FleetUpdate::WorkerMissing { worker, until } => self.miss_worker(worker, *until),
            FleetUpdate::ZoneEvacuation { zone, evacuated } => self.evacuate_zone(zone, *evacuated),
            FleetUpdate::Synced => self.is_synced.store(true, Ordering::Relaxed),
            FleetUpdate::InternalItem(item) => self.take_item(item),
            FleetUpdate::Unreadable { detail, worker } => {
                record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
                if let Some(worker) = worker {
                    // Not even as a last resort: what stands there is not its word.
                    self.remove_worker(worker, self.clock.now());
                }
            }
            FleetUpdate::StoreRecovered { absence } => {
                record(LogEvent::PlatformRecovered, &[Field::number("absence_ms", absence.0)]);
            }
            FleetUpdate::StoreLost { detail } => {
                record(LogEvent::PlatformUnavailable, &[Field::text("detail", detail)])
            }
            FleetUpdate::DrainMachine { .. } => {}
        }
        self.changed.send_modify(|count| *count += 1);
    }

    fn take_configuration(&self, configuration: &Arc<GatewayConfiguration>) {
        let mut known = lock(&self.configuration);
        // A stale read must never bring an older version back.
        if known.as_ref().is_some_and(|known| known.version >= configuration.version) {
            return;
        }
        record(LogEvent::ConfigurationInForce, &[Field::number("version", configuration.version)]);
        measures::configuration_in_force(configuration.version);
        self.workers().set_cold_starts(configuration.cold_starts());
        *known = Some(configuration.clone());
    }

    fn evacuate_zone(&self, zone: &Arc<str>, evacuated: bool) {
        if !self.regions.has_zone(zone) {
            let detail = format!("an order to evacuate the zone {zone}, which is not known");
            return record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
        }
        if self.workers().set_evacuated(zone, evacuated, self.clock.now()) {
            let event = if evacuated { LogEvent::ZoneEvacuated } else { LogEvent::ZoneReturned };
            record(event, &[Field::text("zone", zone)]);
        }
    }

    fn miss_worker(&self, id: &WorkerId, until: Timestamp) {
        let now = self.clock.now();
        let change = self.workers().mark_missing(id, until, now);
        log_worker(change, Some(Field::number("serves_ms", until.since(now).0)));
        self.workers().evict_departed(now);
    }

    fn remove_worker(&self, id: &WorkerId, usable_until: Timestamp) {
        let now = self.clock.now();
        let change = self.workers().remove(id, usable_until, now);
        log_worker(change, None);
        self.workers().evict_departed(now);
    }

    fn take_item(&self, item: &MetadataItem) {
        if &*item.key == FOUNDING_KEY {
            if let Some(founding) = read_record::<FoundingRecord>(item) {
                self.storage().set_founders(founding.voters.clone());
                *lock(&self.founding) = Some(founding);
            }
            return;
        }
        if item.key.starts_with(CRASH_KEY_PREFIX) {
            if let Some(report) = read_record(item) {
                self.merge_crashes(&report, false);
            }
            return;
        }
        let Some(name) = item.key.strip_prefix(STORAGE_KEY_PREFIX) else { return };
        match read_record::<StorageRecord>(item) {
            Some(stored) => {
                let fields = [Field::text("machine", name), Field::text("node", stored.node)];
                record(LogEvent::StorageNodeSeen, &fields);
                self.storage().upsert(stored);
            }
            None => self.storage().remove(name),
        }
    }
}

fn log_cleared(request: &str, digest: RequestDigest, before: CrashCount) {
    if before.counted == 0 {
        return;
    }
    let fields = [
        Field::text("request", request),
        Field::text("digest", digest),
        Field::number("known", before.known as u64),
        Field::number("counted", before.counted as u64),
    ];
    record(LogEvent::CrashesCleared, &fields);
}

/// What one of the product's own records holds; `None` if it is gone or can't be read, which is logged.
pub(super) fn read_record<T: DeserializeOwned>(item: &MetadataItem) -> Option<T> {
    let read = serde_json::from_slice::<T>(item.value()?);
    if let Err(error) = &read {
        let detail = format!("{} at {}: {error}", item.key, item.revision);
        record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
    }
    read.ok()
}

/// Locks; a panic elsewhere leaves values that are still whole.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn log_worker(change: Option<WorkerChange>, detail: Option<Field>) {
    let (event, id) = match change {
        None => return,
        Some(WorkerChange::Seen(id)) => (LogEvent::WorkerSeen, id),
        Some(WorkerChange::Draining(id)) => (LogEvent::WorkerDraining, id),
        Some(WorkerChange::Gone(id)) => (LogEvent::WorkerGone, id),
        Some(WorkerChange::Missing(id)) => (LogEvent::WorkerMissing, id),
    };
    let fields: Vec<Field> = std::iter::once(Field::text("worker", id)).chain(detail).collect();
    record(event, &fields);
}
