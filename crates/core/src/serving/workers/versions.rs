//! The software versions of the known workers of each service.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::table::{DEPARTED_RETENTION, WorkerTable};
use super::worker::{Presence, SoftwareVersion, WorkerEntry, WorkerId, WorkerRecord};
use crate::serving::relay::continuity::Observation;
use crate::time::{Millis, Timestamp};

/// What a node knows about the versions of a service's workers, including recently departed ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownVersions {
    /// The node knows no workers of the service.
    #[default]
    Unknown,
    /// All workers have the same version.
    Sole {
        /// The version.
        version: SoftwareVersion,
        /// Time for which the node has known no other version.
        lasted: Millis,
    },
    /// Workers have different versions.
    Several,
}

impl KnownVersions {
    /// Limits the duration to the time for which the node has observed the workers. What a view that is not current
    /// contains still shows which versions have served, but not for how long.
    pub fn observed(self, observation: &Observation) -> Self {
        match self {
            Self::Sole { version, lasted } => Self::Sole { version, lasted: observation.observed_part(lasted) },
            Self::Unknown | Self::Several => self,
        }
    }
}

/// The versions of each service's workers, including departed ones that the table retains and earlier incarnations of
/// present ones: their streams may still be resumed.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionCounts {
    by_service: BTreeMap<Arc<str>, ServiceVersions>,
}

#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    versions: BTreeMap<SoftwareVersion, VersionEntry>,
    /// Last time at which the set of versions changed, or may have changed unseen.
    changed_at: Timestamp,
}

#[derive(Clone, Debug)]
struct VersionEntry {
    /// Number of workers.
    workers: usize,
    /// Time at which the first worker appeared, or the first one after all earlier ones had departed.
    appeared_at: Timestamp,
    /// Time until which the version is retained for workers that came back under their ID with another one.
    retained_until: Timestamp,
}

impl ServiceVersions {
    fn add(&mut self, version: SoftwareVersion, now: Timestamp) {
        let entry = self.versions.entry(version).or_insert_with(|| {
            self.changed_at = now;
            VersionEntry { workers: 0, appeared_at: now, retained_until: now }
        });
        entry.workers += 1;
    }

    fn evict(&mut self, now: Timestamp) {
        let count = self.versions.len();
        self.versions.retain(|_, entry| entry.workers > 0 || entry.retained_until > now);
        if self.versions.len() != count {
            self.changed_at = now;
        }
    }

    fn known(&self, now: Timestamp) -> KnownVersions {
        let mut names = self.versions.keys();
        match (names.next(), names.next()) {
            (None, _) => KnownVersions::Unknown,
            (Some(version), None) => {
                KnownVersions::Sole { version: version.clone(), lasted: now.since(self.changed_at) }
            }
            (Some(_), Some(_)) => KnownVersions::Several,
        }
    }
}

impl VersionCounts {
    /// Counts a worker whose record changed from `previous` to `current`; `None` if it was unknown or is evicted.
    pub(super) fn record_change(
        &mut self,
        previous: Option<&WorkerRecord>,
        current: Option<&WorkerRecord>,
        now: Timestamp,
    ) {
        let of = |record: Option<&WorkerRecord>| record.map(|record| (record.service.clone(), record.version.clone()));
        let (previous, current) = (of(previous), of(current));
        if previous == current {
            return;
        }
        // An evicted worker was already retained.
        let retained_until = if current.is_some() { now + DEPARTED_RETENTION } else { now };
        if let Some((service, version)) = current {
            self.by_service.entry(service).or_default().add(version, now);
        }
        let Some((service, version)) = previous else { return };
        let Some(versions) = self.by_service.get_mut(&service) else { return };
        if let Some(entry) = versions.versions.get_mut(&version) {
            entry.workers -= 1;
            entry.retained_until = entry.retained_until.max(retained_until);
        }
        versions.evict(now);
    }

    /// Records that a worker has a version that no present worker had. Nodes that do not retain the departed ones, since they
    /// started later, may not know the version yet.
    pub(super) fn record_appearance(&mut self, service: &str, version: &SoftwareVersion, now: Timestamp) {
        let entry = self.by_service.get_mut(service).and_then(|versions| versions.versions.get_mut(version));
        if let Some(entry) = entry {
            entry.appeared_at = now;
        }
    }

    /// Records that a worker of any service and version may have served unseen.
    pub(super) fn record_unseen_worker(&mut self, now: Timestamp) {
        self.by_service.values_mut().for_each(|versions| versions.changed_at = now);
    }

    /// Evicts the versions that are no longer retained.
    pub(super) fn evict(&mut self, now: Timestamp) {
        self.by_service.values_mut().for_each(|versions| versions.evict(now));
    }
}

impl WorkerTable {
    /// Returns what this node knows about the versions of a service's workers.
    pub fn known_versions(&self, service: &str, now: Timestamp) -> KnownVersions {
        self.versions.by_service.get(service).map_or(KnownVersions::Unknown, |versions| versions.known(now))
    }

    /// Returns how long ago a version of a service appeared, or came back after its workers had departed; zero if this node
    /// does not know it.
    pub fn version_known_for(&self, service: &str, version: &SoftwareVersion, now: Timestamp) -> Millis {
        let entry = self.versions.by_service.get(service).and_then(|versions| versions.versions.get(version));
        entry.map_or(Millis(0), |entry| now.since(entry.appeared_at))
    }

    /// Returns whether a present worker of a service has a version; checks the worker `id` first.
    pub(super) fn has_present(&self, id: &WorkerId, service: &str, version: &SoftwareVersion) -> bool {
        let has_version = |entry: &WorkerEntry| {
            let is_present = matches!(entry.presence, Presence::Ready | Presence::Draining);
            is_present && *entry.record.service == *service && entry.record.version == *version
        };
        self.workers.get(id).is_some_and(has_version) || self.workers.values().any(has_version)
    }
}
