//! The software versions of the known workers of each service.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::table::WorkerTable;
use super::worker::{SoftwareVersion, WorkerRecord};
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

/// Number of workers by service and version, including departed workers that the table retains: their streams may still be
/// resumed.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionCounts {
    by_service: BTreeMap<Arc<str>, ServiceVersions>,
}

#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    workers: BTreeMap<SoftwareVersion, usize>,
    /// Last time at which the set of versions changed, or may have changed unseen.
    changed_at: Timestamp,
}

impl VersionCounts {
    /// Counts a worker whose record changed from `previous` to `current`; `None` if it was or is unknown.
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
        if let Some((service, version)) = current {
            let versions = self.by_service.entry(service).or_default();
            let count = versions.workers.entry(version).or_insert(0);
            *count += 1;
            if *count == 1 {
                versions.changed_at = now;
            }
        }
        if let Some((service, version)) = previous {
            self.remove(&service, &version, now);
        }
    }

    /// Records that a worker of any service and version may have served unseen.
    pub(super) fn record_unseen_worker(&mut self, now: Timestamp) {
        self.by_service.values_mut().for_each(|versions| versions.changed_at = now);
    }

    fn remove(&mut self, service: &Arc<str>, version: &SoftwareVersion, now: Timestamp) {
        let Some(versions) = self.by_service.get_mut(service) else { return };
        let Some(count) = versions.workers.get_mut(version) else { return };
        *count -= 1;
        if *count == 0 {
            versions.workers.remove(version);
            versions.changed_at = now;
        }
    }

    fn of_service(&self, service: &str, now: Timestamp) -> KnownVersions {
        let Some(versions) = self.by_service.get(service) else { return KnownVersions::Unknown };
        let mut names = versions.workers.keys();
        match (names.next(), names.next()) {
            (None, _) => KnownVersions::Unknown,
            (Some(version), None) => {
                KnownVersions::Sole { version: version.clone(), lasted: now.since(versions.changed_at) }
            }
            (Some(_), Some(_)) => KnownVersions::Several,
        }
    }
}

impl WorkerTable {
    /// Returns what this node knows about the versions of a service's workers.
    pub fn known_versions(&self, service: &str, now: Timestamp) -> KnownVersions {
        self.versions.of_service(service, now)
    }
}
