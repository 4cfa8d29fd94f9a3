//! What the attempts of one request or batch item say about their workers.
//!
//! A failure is the worker's, unless the same request also fails at another worker that is not suspected. The caller
//! reports what it observes of each attempt, and applies the returned evidence to the worker table.

use std::sync::Arc;

use super::attempt::AttemptEnd;
use crate::serving::workers::outcomes::Outcome;
use crate::serving::workers::{WorkerIncarnation, WorkerLoad, WorkerTable};
use crate::time::Timestamp;

/// A change to the evidence on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvidenceChange {
    /// A run showed this outcome.
    Record(WorkerIncarnation, Outcome),
    /// The failure recorded at this time is not the worker's.
    Retract(WorkerIncarnation, Timestamp),
}

/// The evidence that follows from one observation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Changes to apply, in order.
    pub changes: Vec<EvidenceChange>,
    /// The result of a trial at a suspected worker, with the first observation that shows it.
    pub trial: Option<Outcome>,
}

impl Evidence {
    /// Returns whether a failure was recorded, after which the suspicion of workers is to be reviewed.
    pub fn has_failure(&self) -> bool {
        self.changes.iter().any(|change| matches!(change, EvidenceChange::Record(_, Outcome::Failed)))
    }

    /// Applies the changes to the worker table.
    pub fn apply(&self, route: &Arc<str>, workers: &mut WorkerTable, now: Timestamp) {
        for change in &self.changes {
            match change {
                EvidenceChange::Record(worker, outcome) => workers.record_outcome(worker, route, *outcome, now),
                EvidenceChange::Retract(worker, failed_at) => workers.retract_failure(worker, route, *failed_at, now),
            }
        }
    }
}

/// What the head of an answer says about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// The worker serves the request; a complete answer or the first event confirms it.
    Serving,
    /// The worker's own server error.
    ServerError,
    /// The answer does not come from the worker.
    Foreign,
}

/// Classifies the head of a valid answer. `is_own` states whether the answer carries the worker's signature or the ID
/// of the request; workers sign only successful answers.
pub fn judge_head(status: u16, is_own: bool) -> HeadVerdict {
    match status {
        _ if !is_own => HeadVerdict::Foreign,
        500..=599 => HeadVerdict::ServerError,
        _ => HeadVerdict::Serving,
    }
}

/// A statement of a worker that it did not run a request.
#[derive(Clone, Copy, Debug)]
pub struct WorkerRefusal {
    /// The load that the worker reported with the refusal.
    pub load: Option<WorkerLoad>,
    /// Slots of the worker.
    pub slots: u32,
    /// Whether another worker answered at the address.
    pub other_instance: bool,
    /// Whether the worker is in its cold start, in which it accepts fewer requests than it has slots.
    pub is_cold: bool,
    /// Whether the worker is draining.
    pub is_draining: bool,
}

impl WorkerRefusal {
    /// Returns whether the worker refused although it has free slots by its own report.
    pub fn is_failure(&self) -> bool {
        let has_free_slot = self.load.is_some_and(|load| load.waiting == 0 && load.running < self.slots);
        has_free_slot && !self.other_instance && !self.is_cold && !self.is_draining
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct RecordedFailure {
    worker: WorkerIncarnation,
    at: Timestamp,
}

/// The evidence that one request has given so far.
#[derive(Clone, Debug, Default)]
pub struct Attribution {
    /// Recorded server errors, one for each worker. They are retracted if the request turns out to be the cause.
    errors: Vec<RecordedFailure>,
    /// The failure recorded for the silence of the current attempt.
    silence: Option<RecordedFailure>,
    /// Whether the silence of the current attempt has been judged, with or without a failure.
    is_silence_judged: bool,
    /// Whether the request failed at two workers of which the later one is not suspected.
    is_request_at_fault: bool,
    /// Whether the current attempt is a trial whose result is not known yet.
    is_trial: bool,
}

impl Attribution {
    /// Starts an attempt. `is_suspected` states whether its worker is suspected, which makes it a trial.
    pub fn start_attempt(&mut self, is_suspected: bool) {
        self.silence = None;
        self.is_silence_judged = false;
        self.is_trial = is_suspected;
    }

    /// Returns whether the request failed at more than one worker, of which the later ones were not suspected.
    pub fn is_request_at_fault(&self) -> bool {
        self.is_request_at_fault
    }

    /// Returns whether the silence of the current attempt has been judged.
    pub fn is_silence_judged(&self) -> bool {
        self.is_silence_judged
    }

    /// Handles the first event of a stream, a complete answer or a client error.
    pub fn on_served(&mut self, worker: &WorkerIncarnation) -> Evidence {
        let mut changes = self.retract_silence();
        changes.push(EvidenceChange::Record(worker.clone(), Outcome::Served));
        self.evidence(changes, Some(Outcome::Served))
    }

    /// Handles an attempt that has waited for its first event for longer than the route allows. The attempt may go on.
    /// `is_queueing` states whether the worker itself reports that all its slots are taken: the request then waits for
    /// one, which is no failure. Under a burst most workers are silent for this reason.
    pub fn on_silence(&mut self, worker: &WorkerIncarnation, is_queueing: bool, now: Timestamp) -> Evidence {
        let was_judged = std::mem::replace(&mut self.is_silence_judged, true);
        if was_judged || is_queueing {
            return Evidence::default();
        }
        self.silence = Some(RecordedFailure { worker: worker.clone(), at: now });
        self.record_failure(worker)
    }

    /// Handles a broken connection, a stream that ended too early, or an answer that is not valid.
    pub fn on_broken(&mut self, worker: &WorkerIncarnation) -> Evidence {
        // A recorded silence stands for this failure, too.
        if self.silence.take().is_some() { Evidence::default() } else { self.record_failure(worker) }
    }

    /// Handles an answer that exceeds a limit. Like a server error, it is the request's fault if it happens at two workers
    /// of which the later one is not suspected.
    pub fn on_too_large(&mut self, worker: &WorkerIncarnation, is_suspected: bool, now: Timestamp) -> Evidence {
        self.on_server_error(worker, is_suspected, now)
    }

    /// Handles a server error signed by the worker.
    pub fn on_server_error(&mut self, worker: &WorkerIncarnation, is_suspected: bool, now: Timestamp) -> Evidence {
        let failed_elsewhere = self.errors.iter().any(|failure| failure.worker.id != worker.id);
        self.is_request_at_fault |= failed_elsewhere && !is_suspected;
        if self.is_request_at_fault {
            let mut changes = self.retract_silence();
            let retracted = self.errors.drain(..).map(|failure| EvidenceChange::Retract(failure.worker, failure.at));
            changes.extend(retracted);
            return self.evidence(changes, Some(Outcome::Failed));
        }
        let silence = self.silence.take();
        let at = silence.as_ref().map_or(now, |failure| failure.at);
        self.errors.push(RecordedFailure { worker: worker.clone(), at });
        if silence.is_some() { Evidence::default() } else { self.record_failure(worker) }
    }

    /// Handles an attempt that certainly did not run, which says nothing about the worker.
    pub fn on_not_run(&mut self) -> Evidence {
        self.is_trial = false;
        Evidence { changes: self.retract_silence(), trial: None }
    }

    /// Handles a worker's refusal to run the request.
    pub fn on_refusal(&mut self, worker: &WorkerIncarnation, refusal: &WorkerRefusal) -> Evidence {
        if refusal.is_failure() { self.on_broken(worker) } else { self.on_not_run() }
    }

    /// Handles the end of an attempt without a complete answer. A silent attempt counts only if it was silent for long
    /// enough, which [`Attribution::on_silence`] has recorded by then; a pause between events is no failure.
    pub fn on_end(&mut self, worker: &WorkerIncarnation, end: AttemptEnd) -> Evidence {
        match end {
            AttemptEnd::Broken => self.on_broken(worker),
            AttemptEnd::NotConnected | AttemptEnd::NotRun { .. } | AttemptEnd::NoMemory => self.on_not_run(),
            // Server errors are handled when the head of the answer arrives, and answers over a limit by
            // [`Attribution::on_too_large`].
            AttemptEnd::Silent | AttemptEnd::Failed { .. } | AttemptEnd::TooLarge { .. } => Evidence::default(),
        }
    }

    fn record_failure(&mut self, worker: &WorkerIncarnation) -> Evidence {
        let changes = vec![EvidenceChange::Record(worker.clone(), Outcome::Failed)];
        self.evidence(changes, Some(Outcome::Failed))
    }

    fn retract_silence(&mut self) -> Vec<EvidenceChange> {
        let silence = self.silence.take();
        silence.map(|failure| EvidenceChange::Retract(failure.worker, failure.at)).into_iter().collect()
    }

    fn evidence(&mut self, changes: Vec<EvidenceChange>, end: Option<Outcome>) -> Evidence {
        let is_trial = std::mem::take(&mut self.is_trial);
        Evidence { changes, trial: end.filter(|_| is_trial) }
    }
}
