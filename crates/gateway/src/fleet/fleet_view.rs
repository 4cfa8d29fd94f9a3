//! This node's view of the fleet: the active configuration, the workers and the storage nodes.
//!
//! Owns these tables and the process's random number generator. [`super::metadata_watch`] sends the updates.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::de::DeserializeOwned;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::retry_budget::RetryBudget;
use stallmoor_core::serving::configuration::GatewayConfiguration;
use stallmoor_core::serving::crashes::CrashLedger;
use stallmoor_core::serving::jobs::directory::{FoundingRecord, StorageDirectory, StorageRecord};
use stallmoor_core::serving::online::RETRY_LIMITS;
use stallmoor_core::serving::quota::fleet_size::FleetSize;
use stallmoor_core::serving::regions::RegionMap;
use stallmoor_core::serving::relay::confirmation::ConfirmedReads;
use stallmoor_core::serving::relay::item::MetadataItem;
use stallmoor_core::serving::workers::{WorkerChange, WorkerId, WorkerTable};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::{Notify, watch};

use crate::adapter::metadata::FleetUpdate;
use crate::clock::NodeClock;
use crate::fleet::crash_reports::CRASH_KEY_PREFIX;
use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// Prefix of the keys of storage node records.
pub const STORAGE_KEY_PREFIX: &str = "stallmoor/storage/";
/// Key of the founding record of the job table's group, which is written once.
pub const FOUNDING_KEY: &str = "stallmoor/jobs/founding";

/// This node's view of the fleet, with notifications of its changes.
pub struct FleetView {
    /// The clock by which ages and deadlines of the view are computed.
    pub clock: NodeClock,
    /// The zone that this node is in.
    pub zone: Arc<str>,
    /// The region of each zone.
    pub regions: RegionMap,
    configuration: Mutex<Option<Arc<GatewayConfiguration>>>,
    /// The configuration was kept by a former process, so that any other replaces it.
    configuration_is_kept: AtomicBool,
    workers: Mutex<WorkerTable>,
    storage: Mutex<StorageDirectory>,
    founding: Mutex<Option<FoundingRecord>>,
    pub(super) crashes: Mutex<CrashLedger>,
    /// Time from a worker's crash to the removal of its record.
    pub(super) record_lapse: Millis,
    size: Mutex<FleetSize>,
    /// Number of gateways that exchanged loads at the last exchange; 0 if unknown.
    reachable_gateways: AtomicU32,
    /// Notified when the crash ledger has changes to report to other nodes.
    pub(super) crash_report_needed: Notify,
    random: Mutex<Xoshiro256PlusPlus>,
    retry_budget: Mutex<RetryBudget>,
    /// Set after the first complete read of the store.
    is_synced: AtomicBool,
    confirmed_reads: watch::Sender<ConfirmedReads>,
    changed: watch::Sender<u64>,
}

impl FleetView {
    /// Creates an empty view. `seed` initializes the random number generator.
    pub fn new(clock: NodeClock, zone: Arc<str>, seed: u64) -> Self {
        let mut ledger = CrashLedger::default();
        ledger.parts_mut().set_seed(seed);
        ledger.item_parts_mut().set_seed(seed);
        Self {
            clock,
            zone,
            configuration: Mutex::default(),
            configuration_is_kept: AtomicBool::new(false),
            regions: RegionMap::default(),
            workers: Mutex::default(),
            storage: Mutex::default(),
            founding: Mutex::default(),
            crashes: Mutex::new(ledger),
            record_lapse: Millis::default(),
            size: Mutex::default(),
            reachable_gateways: AtomicU32::default(),
            crash_report_needed: Notify::new(),
            random: Mutex::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
            retry_budget: Mutex::new(RetryBudget::new(RETRY_LIMITS)),
            is_synced: AtomicBool::new(false),
            confirmed_reads: watch::Sender::new(ConfirmedReads::default()),
            changed: watch::Sender::new(0),
        }
    }

    /// Sets the regions of a fleet that spans several.
    pub fn with_regions(self, regions: RegionMap) -> Self {
        let workers = Mutex::new(WorkerTable::with_regions(regions.clone()));
        Self { regions, workers, ..self }
    }

    /// Sets the time after which the record of a crashed worker is removed from the metadata store.
    pub fn with_record_lapse(self, record_lapse: Millis) -> Self {
        self.workers().set_record_lapse(record_lapse);
        Self { record_lapse, ..self }
    }

    /// Returns the active configuration; `None` before the first one is read.
    pub fn configuration(&self) -> Option<Arc<GatewayConfiguration>> {
        lock(&self.configuration).clone()
    }

    /// Returns the active configuration. Waits up to `timeout` for the first complete view of the fleet after startup.
    pub async fn wait_for_configuration(&self, timeout: Duration) -> Option<Arc<GatewayConfiguration>> {
        let mut changes = self.changes();
        let is_ready = |_: &u64| self.is_synced() && self.configuration().is_some();
        // After a timeout a configuration from an incomplete view is still used.
        let _ = tokio::time::timeout(timeout, changes.wait_for(is_ready)).await;
        self.configuration()
    }

    /// Locks the worker table.
    pub fn workers(&self) -> MutexGuard<'_, WorkerTable> {
        lock(&self.workers)
    }

    /// Locks the directory of storage nodes.
    pub fn storage(&self) -> MutexGuard<'_, StorageDirectory> {
        lock(&self.storage)
    }

    /// Returns whether the metadata store has been read completely at least once.
    pub fn is_synced(&self) -> bool {
        self.is_synced.load(Ordering::Relaxed)
    }

    /// Returns the founding record of the job table's group, once it has been read.
    pub fn founding(&self) -> Option<FoundingRecord> {
        lock(&self.founding).clone()
    }

    /// Records the number of gateways that currently exchange loads.
    pub fn record_gateway_count(&self, gateways: u32) {
        lock(&self.size).record(gateways, self.clock.now());
        self.reachable_gateways.store(gateways, Ordering::Relaxed);
    }

    /// Returns the number of gateways that exchanged loads at the last exchange; 0 if unknown.
    pub fn reachable_gateways(&self) -> u32 {
        self.reachable_gateways.load(Ordering::Relaxed)
    }

    /// Returns the number of gateways, including unreachable ones; 0 if unknown.
    pub fn gateways(&self) -> u32 {
        lock(&self.size).gateways()
    }

    /// Locks the process's random number generator.
    pub fn random(&self) -> MutexGuard<'_, Xoshiro256PlusPlus> {
        lock(&self.random)
    }

    /// Locks the budget for retrying the requests of slow workers on other workers.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Subscribes to a counter that is incremented with each update of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Subscribes to the reads that confirmed this view, of which all updates are applied.
    pub fn confirmed_reads(&self) -> watch::Receiver<ConfirmedReads> {
        self.confirmed_reads.subscribe()
    }

    /// Returns the cache size of each worker of a service, in tokens; 0 if unknown.
    pub fn worker_cache_tokens(&self, service: &str) -> u64 {
        let configuration = self.configuration();
        configuration.and_then(|current| current.services.get(service).map(|entry| entry.cache_tokens)).unwrap_or(0)
    }

    /// Applies an update and notifies the subscribers of [`FleetView::changes`].
    pub fn apply(&self, update: &FleetUpdate) {
        match update {
            FleetUpdate::Configuration(configuration) => self.apply_configuration(configuration),
            FleetUpdate::Worker(worker) => {
                // Before, records of workers are those that a former process has kept.
                if self.is_synced() {
                    self.record_worker_restart(worker);
                }
                let change = self.workers().apply_record(worker.clone(), self.clock.now());
                let details = [Field::text("address", worker.address), Field::text("version", &worker.version)];
                log_worker_change(change, details);
            }
            FleetUpdate::WorkerRemoved { worker, usable_until } => self.remove_worker(worker, *usable_until),
            FleetUpdate::WorkerMissing { worker, until } => self.mark_worker_missing(worker, *until),
            FleetUpdate::ZoneEvacuation { zone, evacuated } => self.set_zone_evacuation(zone, *evacuated),
            FleetUpdate::Synced => self.is_synced.store(true, Ordering::Relaxed),
            FleetUpdate::ReadAfterRequest(reads) => {
                self.confirmed_reads.send_replace(*reads);
                return;
            }
            FleetUpdate::RecordsConfirmed(at) => {
                self.workers().confirm_records(*at);
                return;
            }
            FleetUpdate::InternalItem(item) => self.apply_internal_item(item),
            FleetUpdate::Unreadable { detail, worker } => {
                record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
                if let Some(worker) = worker {
                    // Removed without a grace period: the worker did not write this record.
                    self.remove_worker(worker, self.clock.now());
                }
            }
            FleetUpdate::StoreRecovered { absence } => {
                record(LogEvent::PlatformRecovered, &[Field::number("absence_ms", absence.0)]);
            }
            FleetUpdate::StoreUnreachable { detail } => {
                record(LogEvent::PlatformUnavailable, &[Field::text("detail", detail)])
            }
            FleetUpdate::DrainMachine { .. } => {}
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Applies an update that a former process of this node has kept. It serves to find other nodes and to run items until
    /// the first complete view; whatever decides on members or founds a group must not rest on it.
    pub fn apply_kept(&self, update: &FleetUpdate) {
        match update {
            FleetUpdate::InternalItem(item) if &*item.key == FOUNDING_KEY => {
                let founding = parse_record::<FoundingRecord>(item);
                founding.into_iter().for_each(|founding| self.storage().set_founders(founding.voters));
            }
            FleetUpdate::Configuration(_) => {
                self.apply(update);
                self.configuration_is_kept.store(true, Ordering::Relaxed);
            }
            update => self.apply(update),
        }
    }

    fn apply_configuration(&self, configuration: &Arc<GatewayConfiguration>) {
        let mut current = lock(&self.configuration);
        let is_kept = self.configuration_is_kept.swap(false, Ordering::Relaxed);
        // A stale read must not restore an older version.
        if !is_kept && current.as_ref().is_some_and(|current| current.version >= configuration.version) {
            return;
        }
        record(LogEvent::ConfigurationInForce, &[Field::number("version", configuration.version)]);
        measures::set_configuration_version(configuration.version);
        self.workers().set_cold_starts(configuration.cold_starts());
        *current = Some(configuration.clone());
    }

    fn set_zone_evacuation(&self, zone: &Arc<str>, evacuated: bool) {
        if !self.regions.has_zone(zone) {
            let detail = format!("an order to evacuate the zone {zone}, which is not known");
            return record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
        }
        if self.workers().set_evacuated(zone, evacuated, self.clock.now()) {
            let event = if evacuated { LogEvent::ZoneEvacuated } else { LogEvent::ZoneReturned };
            record(event, &[Field::text("zone", zone)]);
        }
    }

    fn mark_worker_missing(&self, id: &WorkerId, until: Timestamp) {
        let now = self.clock.now();
        let change = self.workers().mark_missing(id, until, now);
        log_worker_change(change, [Field::number("serves_ms", until.since(now).0)]);
        self.workers().evict_departed(now);
    }

    fn remove_worker(&self, id: &WorkerId, usable_until: Timestamp) {
        let now = self.clock.now();
        self.record_worker_loss(id);
        let change = self.workers().remove(id, usable_until, now);
        log_worker_change(change, []);
        self.workers().evict_departed(now);
    }

    fn apply_internal_item(&self, item: &MetadataItem) {
        if &*item.key == FOUNDING_KEY {
            if let Some(founding) = parse_record::<FoundingRecord>(item) {
                self.storage().set_founders(founding.voters.clone());
                *lock(&self.founding) = Some(founding);
            }
            return;
        }
        if item.key.starts_with(CRASH_KEY_PREFIX) {
            if let Some(report) = parse_record(item) {
                self.merge_crashes(&report, false);
            }
            return;
        }
        let Some(name) = item.key.strip_prefix(STORAGE_KEY_PREFIX) else { return };
        if item.value().is_none() {
            return self.storage().remove(name);
        }
        // An unreadable record was not written by the machine, which writes its own again.
        let Some(stored) = parse_record::<StorageRecord>(item) else { return };
        if *stored.name != *name {
            let detail = format!("{} at {}: the record is of {}", item.key, item.revision, stored.name);
            return record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
        }
        let fields = [Field::text("machine", name), Field::text("node", stored.node)];
        record(LogEvent::StorageNodeSeen, &fields);
        self.storage().upsert_at(stored, item.revision);
    }
}

/// Parses the value of a JSON record. Returns `None` if the record is absent or invalid; invalid records are logged.
pub(super) fn parse_record<T: DeserializeOwned>(item: &MetadataItem) -> Option<T> {
    let read = serde_json::from_slice::<T>(item.value()?);
    if let Err(error) = &read {
        let detail = format!("{} at {}: {error}", item.key, item.revision);
        record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
    }
    read.ok()
}

/// Locks a mutex, ignoring poisoning: a panic while a lock is held leaves these values consistent.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn log_worker_change(change: Option<WorkerChange>, details: impl IntoIterator<Item = Field>) {
    let (event, id) = match change {
        None => return,
        Some(WorkerChange::Available(id)) => (LogEvent::WorkerSeen, id),
        Some(WorkerChange::Draining(id)) => (LogEvent::WorkerDraining, id),
        Some(WorkerChange::Removed(id)) => (LogEvent::WorkerGone, id),
        Some(WorkerChange::Missing(id)) => (LogEvent::WorkerMissing, id),
    };
    let fields: Vec<Field> = std::iter::once(Field::text("worker", id)).chain(details).collect();
    record(event, &fields);
}
