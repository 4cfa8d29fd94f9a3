//! Which workers may go on with a stream that another process of their version began.
//!
//! A worker may come back under its ID and address with another version. Until its new record is read, it is taken for
//! its former process, and neither its answers nor a later read of the store show the difference. What does show it are
//! this node's connections: those of the former process break. A connection that has been open for longer than a record
//! takes to be read belongs to the process that wrote the present record; a refused one shows that this process has
//! ended; one that broke may show it.
//!
//! Applies only to requests that are bound to a version. A new stream may begin at any process.

use rand::Rng;

use super::choice::{Choice, WorkerQuery};
use super::table::WorkerTable;
use super::worker::{WorkerEntry, WorkerId, WorkerIncarnation, WorkerRecord};
use crate::time::{Millis, Timestamp};

/// Time after which the record of a worker that answers is in the store and read from it, if the view is current.
pub const RECORD_DELAY: Millis = Millis(2_000);
/// Time from the end of a worker to the removal of its record, unless the node sets another.
pub(super) const DEFAULT_RECORD_LAPSE: Millis = Millis(10_000);

/// What indicates that the process that wrote a worker's record has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RestartSign {
    /// A connection broke, which has many causes.
    Broken,
    /// Nothing accepted connections at the worker's address.
    Refused,
}

impl RestartSign {
    /// Returns the name used in log fields.
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Refused => "refused",
        }
    }
}

/// What is known of the process to which a stream is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStanding {
    /// It wrote the worker's record.
    Attested,
    /// Nothing indicates that it did not.
    Unchallenged,
    /// It may not have.
    Doubted(RestartSign),
}

impl RecordStanding {
    /// Returns the name used in log fields.
    pub fn name(self) -> &'static str {
        match self {
            Self::Attested => "attested",
            Self::Unchallenged => "unchallenged",
            Self::Doubted(sign) => sign.name(),
        }
    }
}

/// A sign that a worker's record is older than its process.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordDoubt {
    sign: RestartSign,
    seen_at: Timestamp,
    /// First answer of the worker after that.
    answered_at: Option<Timestamp>,
}

impl RecordDoubt {
    /// Returns whether the record is known to be that of the present process, by a view that was complete at
    /// `confirmed_at`: a process that has answered has written its record by then, and that of one that has ended was removed.
    fn is_resolved(&self, confirmed_at: Timestamp, record_lapse: Millis) -> bool {
        let is_written = self.answered_at.is_some_and(|at| confirmed_at >= at + RECORD_DELAY);
        is_written || confirmed_at >= self.seen_at + record_lapse + RECORD_DELAY
    }
}

impl WorkerTable {
    /// Sets the time from the end of a worker to the removal of its record.
    pub fn set_record_lapse(&mut self, record_lapse: Millis) {
        self.record_lapse = record_lapse;
    }

    /// Records that the table holds all records that were in the store at `confirmed_at`.
    pub fn confirm_records(&mut self, confirmed_at: Timestamp) {
        self.records_confirmed_at = self.records_confirmed_at.max(confirmed_at);
    }

    /// Records a sign, seen at `seen_at`, that a worker's process has ended. Signs from before its record was read say
    /// nothing about the process that wrote it.
    pub fn record_restart_sign(&mut self, incarnation: &WorkerIncarnation, sign: RestartSign, seen_at: Timestamp) {
        let (confirmed_at, record_lapse) = (self.records_confirmed_at, self.record_lapse);
        let entry = self.workers.get_mut(&incarnation.id).filter(|entry| entry.is_incarnation(incarnation));
        let Some(entry) = entry.filter(|entry| seen_at >= entry.read_at) else { return };
        let pending = entry.doubt.filter(|doubt| !doubt.is_resolved(confirmed_at, record_lapse));
        entry.doubt = match pending {
            Some(doubt) if seen_at <= doubt.seen_at => Some(RecordDoubt { sign: doubt.sign.max(sign), ..doubt }),
            Some(doubt) => Some(RecordDoubt { sign: doubt.sign.max(sign), seen_at, answered_at: None }),
            // A report may repeat a sign that was resolved since.
            None if entry.doubt.is_some_and(|doubt| seen_at <= doubt.seen_at) => return,
            None => Some(RecordDoubt { sign, seen_at, answered_at: None }),
        };
    }

    /// Records a sign that the present process of the worker `id` has ended.
    pub fn record_restart_sign_of(&mut self, id: &WorkerId, sign: RestartSign, seen_at: Timestamp) {
        let Some(incarnation) = self.record(id).map(WorkerRecord::incarnation) else { return };
        self.record_restart_sign(&incarnation, sign, seen_at);
    }

    /// Records that a worker has answered a request.
    pub fn record_answer(&mut self, incarnation: &WorkerIncarnation, now: Timestamp) {
        let entry = self.workers.get_mut(&incarnation.id).filter(|entry| entry.is_incarnation(incarnation));
        if let Some(doubt) = entry.and_then(|entry| entry.doubt.as_mut()) {
            doubt.answered_at.get_or_insert(now);
        }
    }

    /// Records that a record that differs from the previous one was read. Without a start time it may be of any process.
    pub(super) fn record_read(&mut self, id: &WorkerId, is_new_process: bool, now: Timestamp) {
        let Some(entry) = self.workers.get_mut(id) else { return };
        if is_new_process || entry.record.started_at.is_none() {
            (entry.doubt, entry.read_at) = (None, now);
        }
    }

    /// Selects a worker that goes on with a stream that has events, or `None` if all processes that may do so are known to
    /// have ended. Prefers those that wrote their records, if one has a free slot, then those that nothing indicates
    /// did not. `connected_since` returns the time at which the oldest open connection to a worker was opened. The stream
    /// is not used for a trial of a suspected worker.
    pub fn choose_to_continue(
        &self,
        query: &WorkerQuery<'_>,
        connected_since: impl Fn(&WorkerRecord) -> Option<Timestamp>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<(Choice, RecordStanding)> {
        let candidates = self.candidates(query, now);
        let standing = |entry: &WorkerEntry| self.standing(entry, connected_since(&entry.record));
        let standings: Vec<_> = candidates.into_iter().map(|entry| (entry, standing(entry))).collect();
        let of = |is_preferred: &dyn Fn(&WorkerEntry, RecordStanding) -> bool| -> Vec<&WorkerEntry> {
            let preferred = standings.iter().filter(|(entry, standing)| is_preferred(entry, *standing));
            preferred.map(|(entry, _)| *entry).collect()
        };
        let is_attested = |_: &WorkerEntry, standing: RecordStanding| standing == RecordStanding::Attested;
        let is_unchallenged = |_: &WorkerEntry, standing| !matches!(standing, RecordStanding::Doubted(_));
        let mut preferred = of(&is_attested);
        if preferred.iter().all(|entry| entry.queue_position(now) > 0) {
            preferred = of(&is_unchallenged);
        }
        if preferred.is_empty() {
            preferred = of(&|_, _| true);
        }
        let choice = self.choose_from(preferred, query, now, random)?;
        let standing = standings.iter().find(|(entry, _)| entry.record.id == choice.id)?.1;
        Some((choice, standing))
    }

    fn standing(&self, entry: &WorkerEntry, connected_since: Option<Timestamp>) -> RecordStanding {
        let is_attested = connected_since.is_some_and(|since| self.records_confirmed_at >= since + RECORD_DELAY);
        match self.doubt_of(entry) {
            Some(RestartSign::Refused) => RecordStanding::Doubted(RestartSign::Refused),
            _ if is_attested => RecordStanding::Attested,
            Some(sign) => RecordStanding::Doubted(sign),
            None => RecordStanding::Unchallenged,
        }
    }

    fn doubt_of(&self, entry: &WorkerEntry) -> Option<RestartSign> {
        let doubt = entry.doubt.filter(|doubt| !doubt.is_resolved(self.records_confirmed_at, self.record_lapse))?;
        Some(doubt.sign)
    }

    /// Returns whether a worker may serve a request that is bound to a version: not if the process that wrote its record has
    /// ended.
    pub(super) fn may_continue(&self, entry: &WorkerEntry, query: &WorkerQuery<'_>) -> bool {
        query.version.is_none() || self.doubt_of(entry) != Some(RestartSign::Refused)
    }
}
