//! The workers that recently added to an item's output, as long as a newer record of them may contradict its origin.
//!
//! A worker may come back under its ID with another version, and is chosen by its earlier record until the new one is
//! read. Which of its incarnations ran the item is then not known, so the output cannot be continued anywhere.

use std::collections::BTreeMap;

use crate::serving::stream_origins::StreamOrigin;
use crate::serving::workers::{WorkerId, WorkerRecord};
use crate::time::{Millis, Timestamp};

/// Time after which the record of a worker that runs an item is in the store and read from it, if the view is current.
const RECORD_DELAY: Millis = Millis(2_000);

#[derive(Clone, Debug)]
struct Contribution {
    /// The origin by the record with which the worker was chosen.
    origin: StreamOrigin,
    /// Start time of the worker's last run.
    began_at: Timestamp,
}

/// The workers of an item's runs whose records are not confirmed yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Contributors {
    workers: BTreeMap<WorkerId, Contribution>,
}

impl Contributors {
    /// Adds the worker of a run that starts.
    pub(super) fn add(&mut self, worker: WorkerId, origin: StreamOrigin, now: Timestamp) {
        self.workers.insert(worker, Contribution { origin, began_at: now });
    }

    /// Returns whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns whether the present record of one of the workers contradicts the origin of its run. Drops the workers
    /// that a view which was complete at `confirmed_at` confirms.
    pub(super) fn is_contradicted<'a>(
        &mut self,
        record_of: &impl Fn(&WorkerId) -> Option<&'a WorkerRecord>,
        confirmed_at: Timestamp,
    ) -> bool {
        let mut is_contradicted = false;
        self.workers.retain(|worker, Contribution { origin, began_at }| {
            let is_other = |record: &WorkerRecord| record.service != origin.service || record.version != origin.version;
            is_contradicted |= record_of(worker).is_some_and(is_other);
            confirmed_at < *began_at + RECORD_DELAY
        });
        is_contradicted
    }
}
