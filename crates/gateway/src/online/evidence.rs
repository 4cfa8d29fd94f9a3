//! Records what the attempts of a request say about their workers.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::attribution::{Attribution, Evidence, HeadVerdict};
use stallmoor_core::serving::workers::{WorkerId, WorkerIncarnation};
use stallmoor_core::time::Timestamp;

use super::ActiveRequest;
use crate::workers::answer_reader::record_too_large;
use crate::workers::attempt::{FailedAttempt, OpenAnswer};
use crate::workers::suspicion::apply_evidence;

impl ActiveRequest {
    /// Starts the evidence of an attempt.
    pub(super) fn start_evidence(&mut self, worker: &WorkerId) {
        let is_suspected = self.client.view.workers().is_suspected(worker, self.now());
        self.state.attribution.start_attempt(is_suspected);
    }

    /// Applies the evidence that follows from an observation.
    pub(super) fn record_evidence(&mut self, observe: impl FnOnce(&mut Attribution, Timestamp) -> Evidence) {
        let now = self.now();
        let evidence = observe(&mut self.state.attribution, now);
        apply_evidence(&self.client.view, &self.request.route.name, &evidence);
    }

    /// Records what the head of an answer shows. A worker that serves the request is credited with its first event or
    /// its complete answer.
    pub(super) fn record_head(&mut self, answer: &OpenAnswer) {
        let worker = &answer.worker;
        match answer.verdict() {
            HeadVerdict::Serving => {}
            HeadVerdict::Foreign => self.record_evidence(|attribution, _| attribution.on_broken(worker)),
            HeadVerdict::ServerError => {
                let is_suspected = self.client.view.workers().is_suspected(&worker.id, self.now());
                self.record_evidence(|attribution, now| attribution.on_server_error(worker, is_suspected, now));
            }
        }
    }

    /// Records an attempt without a valid answer.
    pub(super) fn record_failed_attempt(&mut self, worker: &WorkerIncarnation, failed: &FailedAttempt) {
        match &failed.refusal {
            Some(refusal) => self.record_evidence(|attribution, _| attribution.on_refusal(worker, refusal)),
            None => self.record_attempt_evidence(worker, failed.end),
        }
    }

    /// Records the end of an attempt without a complete answer.
    pub(super) fn record_attempt_evidence(&mut self, worker: &WorkerIncarnation, end: AttemptEnd) {
        let AttemptEnd::TooLarge { part } = end else {
            self.record_evidence(|attribution, _| attribution.on_end(worker, end));
            return;
        };
        record_too_large(&worker.id, &self.request.attributes.id, part, &self.client.answers.limits);
        let is_suspected = self.client.view.workers().is_suspected(&worker.id, self.now());
        self.record_evidence(|attribution, now| attribution.on_too_large(worker, is_suspected, now));
    }

    /// Waits for the answer of an attempt. Records a failure of its worker as soon as it is silent for too long.
    pub(super) async fn watch_silence<T>(
        &mut self,
        worker: &WorkerIncarnation,
        silence_after: Duration,
        opening: impl Future<Output = T>,
    ) -> T {
        let mut opening = pin!(opening);
        tokio::select! {
            biased;
            opened = &mut opening => return opened,
            () = tokio::time::sleep(silence_after) => {}
        }
        self.record_silence(worker);
        opening.await
    }

    /// Records that the current attempt has been silent for too long.
    pub(super) fn record_silence(&mut self, worker: &WorkerIncarnation) {
        let is_queueing = self.client.view.workers().reports_full(worker, self.now());
        self.record_evidence(|attribution, now| attribution.on_silence(worker, is_queueing, now));
    }

    /// Returns the time left until an attempt that was sent at `sent_at` counts as silent.
    pub(super) fn silence_after(&self, sent_at: Timestamp) -> Duration {
        let mean_first = self.client.view.workers().mean_time_to_first_event();
        let allowed = self.state.silence_after(mean_first);
        Duration::from_millis(allowed.0.saturating_sub(self.now().since(sent_at).0))
    }
}
