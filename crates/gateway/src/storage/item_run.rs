//! One run of a batch item on a worker.
//!
//! Owns the attempt and its output while the run is active. Timeouts and the classification of responses are defined in
//! [`stallmoor_core::serving::jobs::dispatch`]; connections and in-flight counts are managed by [`WorkerClient`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Method, Uri};
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::crashes::{RequestContent, RequestKeys};
use stallmoor_core::serving::jobs::command::{JobItem, PartialOutput};
use stallmoor_core::serving::jobs::dispatch::{EVENT_TIMEOUT, FIRST_EVENT_TIMEOUT, RunEnd, SEND_TIMEOUT};
use stallmoor_core::serving::online::answer_limits::AnswerPart;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::attribution::{Attribution, Evidence, HeadVerdict};
use stallmoor_core::serving::online::event_stream::ServerSentEvent;
use stallmoor_core::serving::online::stream_end::StreamCompletion;
use stallmoor_core::serving::online::timeouts::EventWait;
use stallmoor_core::serving::workers::{Choice, WorkerId, WorkerIncarnation};
use stallmoor_core::time::Timestamp;
use tokio::sync::Notify;

use crate::adapter::dialect::{AttemptContext, Dialect};
use crate::workers::answer_reader::{EventReader, record_too_large};
use crate::workers::attempt::{Attempt, FailedAttempt, InFlight, OpenAnswer, WorkerClient};
use crate::workers::crash_check::{RunWatch, WorkerRun};
use crate::workers::suspicion::apply_evidence;

/// The result of a run.
pub struct FinishedRun {
    /// How the run ended.
    pub end: RunEnd,
    /// The output accumulated so far.
    pub output: PartialOutput,
    /// The worker of the run.
    pub worker: WorkerId,
    /// What the item's runs said about their workers so far.
    pub attribution: Attribution,
}

/// What received events add to the output of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Appended {
    Progress,
    Nothing,
    /// Earlier events are missing.
    AfterGap,
}

/// An item and the worker it runs on.
pub struct ItemRun {
    /// The item to run.
    pub item: JobItem,
    /// Host name to which the job was submitted.
    pub host: Arc<str>,
    /// Identity of the caller that submitted the job.
    pub identity: CallerIdentity,
    /// Service that the item's route selected.
    pub service: Arc<str>,
    /// Worker selected for the run.
    pub choice: Choice,
    /// When the run was decided on, by a node that was the leader.
    pub decided_at: Timestamp,
    /// Output accumulated so far, including that of earlier runs. The service reads it during the run.
    pub output: Arc<Mutex<PartialOutput>>,
    /// Name of the route, under which evidence is recorded.
    pub route: Arc<str>,
    /// What the item's runs said about their workers so far.
    pub attribution: Attribution,
    /// Notified to pause the run, for example to free capacity for online requests.
    pub pause: Arc<Notify>,
}

impl ItemRun {
    /// Runs the item and returns how the run ended together with the output accumulated so far.
    pub async fn run(mut self, client: &Arc<WorkerClient>, in_flight: InFlight) -> FinishedRun {
        let mut watch = self.watch(client);
        let is_suspected = self.is_worker_suspected(client);
        self.attribution.start_attempt(is_suspected);
        let is_resumed = self.output().last_event.is_some();
        let started_at = client.view.clock.now();
        let end = self.try_run(client, in_flight, &mut watch).await;
        if end == RunEnd::Completed && !is_resumed {
            let elapsed = client.view.clock.now().since(started_at);
            client.view.workers().service_times(&self.service).record_slot_time(elapsed);
        }
        watch.record_progress(self.output().last_event.unwrap_or(0));
        match end {
            // The worker is checked in the background, so the report is not delayed. Dropping the watch of a paused run
            // counts as abandoning it.
            RunEnd::BrokenOff | RunEnd::OutputTooLarge | RunEnd::Unconfirmed => drop(watch.interrupted()),
            RunEnd::Paused => drop(watch),
            RunEnd::Completed => {
                watch.finish();
                self.record_completion(client);
            }
            RunEnd::Impossible | RunEnd::Failed | RunEnd::NotRun => watch.finish(),
        }
        if matches!(end, RunEnd::OutputTooLarge | RunEnd::Unconfirmed) {
            *self.output() = PartialOutput::default();
        }
        let output = self.output().clone();
        FinishedRun { end, output, worker: self.choice.id, attribution: self.attribution }
    }

    fn watch(&self, client: &Arc<WorkerClient>) -> RunWatch {
        let last_event = self.output().last_event.unwrap_or(0);
        let run = WorkerRun {
            choice: self.choice.clone(),
            service: self.service.clone(),
            request_id: self.item.id.clone(),
            is_item: true,
            keys: self.keys(client),
            started_after: last_event,
            progress: last_event,
        };
        RunWatch::new(client.clone(), run)
    }

    /// Records a completed run as evidence that the item does not crash workers. Skipped while no crashes are known,
    /// since identical items are rare.
    fn record_completion(&self, client: &WorkerClient) {
        if !client.view.has_no_crashes() {
            let keys = self.keys(client);
            client.view.record_survival(&self.item.id, &keys);
            client.view.record_completion(&self.item.id, &keys);
        }
    }

    fn keys(&self, client: &WorkerClient) -> RequestKeys {
        item_keys(&self.item, &self.identity, &*client.dialect)
    }

    fn output(&self) -> MutexGuard<'_, PartialOutput> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn try_run(&mut self, client: &WorkerClient, in_flight: InFlight, watch: &mut RunWatch) -> RunEnd {
        let Ok(target) = self.item.path.parse::<Uri>() else { return RunEnd::Impossible };
        let context = AttemptContext {
            worker: &self.choice.id,
            remaining: None,
            after_event: self.output().last_event,
            identity: &self.identity,
        };
        let attempt = Attempt {
            service: self.service.clone(),
            request_id: self.item.id.clone(),
            method: Method::POST,
            target,
            headers: client.dialect.item_headers(&self.item, &self.host, &context),
            body: bytes::Bytes::copy_from_slice(&self.item.body),
            in_flight,
            choice: self.choice.clone(),
            send_until: Some(self.decided_at + SEND_TIMEOUT),
        };
        let pause = self.pause.clone();
        let opened = tokio::select! {
            opened = client.open(attempt, Duration::from_millis(FIRST_EVENT_TIMEOUT.0)) => opened,
            () = pause.notified() => return RunEnd::Paused,
        };
        match opened {
            Ok(answer) => {
                self.record_head(client, &answer);
                match RunEnd::from_head(answer.status.as_u16(), answer.verdict()) {
                    Some(end) => end,
                    None => self.read_events(client, answer, watch).await,
                }
            }
            Err(failed) => {
                self.record_failed_attempt(client, &failed);
                RunEnd::from_attempt(failed.end)
            }
        }
    }

    async fn read_events(&mut self, client: &WorkerClient, mut answer: OpenAnswer, watch: &mut RunWatch) -> RunEnd {
        let mut reader = EventReader::new(&client.answers, answer.framing());
        let mut first = true;
        let mut waiting_since = client.view.clock.now();
        let pause = self.pause.clone();
        loop {
            let wait = EventWait { since: waiting_since, received: reader.pending_bytes() };
            let timeout = wait.remaining(EVENT_TIMEOUT, client.view.clock.now());
            let frame = tokio::select! {
                frame = tokio::time::timeout(Duration::from_millis(timeout.0), answer.body.frame()) => frame,
                () = pause.notified() => return RunEnd::Paused,
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    let events = match reader.push(&frame.into_data().unwrap_or_default()) {
                        Ok(events) => events,
                        Err(end) => return self.interrupted(client, &answer, end),
                    };
                    if !events.is_empty() && std::mem::take(&mut first) {
                        self.record_evidence(client, |attribution, worker, _| attribution.on_served(worker));
                    }
                    match self.append_events(&events) {
                        Appended::Progress => waiting_since = client.view.clock.now(),
                        Appended::Nothing => {}
                        Appended::AfterGap => return self.interrupted(client, &answer, AttemptEnd::Broken),
                    }
                    if self.output().text.len() > client.answers.limits.item_output {
                        // None of the output can be relied on, and no worker can complete it.
                        self.interrupted(client, &answer, AttemptEnd::TooLarge { part: AnswerPart::ItemOutput });
                        return RunEnd::OutputTooLarge;
                    }
                    let last_event = self.output().last_event.unwrap_or(0);
                    watch.record_progress(last_event);
                }
                Ok(None) => return self.finish_output(client, answer, &reader),
                _ => return self.interrupted(client, &answer, AttemptEnd::Broken),
            }
        }
    }

    /// Appends events to the output. Repeated events and comments are no progress, since they can be sent without end.
    fn append_events(&mut self, events: &[ServerSentEvent]) -> Appended {
        let mut output = self.output();
        let mut appended = Appended::Nothing;
        for event in events.iter().filter(|event| !event.is_comment()) {
            let before = output.position();
            if !output.append_event(&event.data(), event.id) {
                return Appended::AfterGap;
            }
            if output.position() != before {
                appended = Appended::Progress;
            }
        }
        appended
    }

    fn finish_output(&mut self, client: &WorkerClient, answer: OpenAnswer, reader: &EventReader) -> RunEnd {
        let is_resumed = self.output().last_event.is_some();
        match reader.ended().completion(is_resumed) {
            StreamCompletion::Complete => {
                answer.release();
                RunEnd::Completed
            }
            StreamCompletion::Broken => self.interrupted(client, &answer, AttemptEnd::Broken),
            StreamCompletion::Unknown => {
                self.interrupted(client, &answer, AttemptEnd::Broken);
                RunEnd::Unconfirmed
            }
        }
    }

    fn interrupted(&mut self, client: &WorkerClient, answer: &OpenAnswer, end: AttemptEnd) -> RunEnd {
        self.record_attempt_evidence(client, end);
        let now = client.view.clock.now();
        client.view.workers().record_ended_attempt(&answer.worker, end, answer.sent_at, now);
        RunEnd::BrokenOff
    }
}

/// What the run says about its worker.
impl ItemRun {
    fn is_worker_suspected(&self, client: &WorkerClient) -> bool {
        client.view.workers().is_suspected(&self.choice.id, client.view.clock.now())
    }

    fn record_evidence(
        &mut self,
        client: &WorkerClient,
        observe: impl FnOnce(&mut Attribution, &WorkerIncarnation, Timestamp) -> Evidence,
    ) {
        let evidence = observe(&mut self.attribution, &self.choice.incarnation(), client.view.clock.now());
        apply_evidence(&client.view, &self.route, &evidence);
    }

    fn record_head(&mut self, client: &WorkerClient, answer: &OpenAnswer) {
        match answer.verdict() {
            HeadVerdict::Serving if answer.status.is_success() => {}
            HeadVerdict::Serving => {
                self.record_evidence(client, |attribution, worker, _| attribution.on_served(worker));
            }
            HeadVerdict::Foreign => {
                self.record_evidence(client, |attribution, worker, _| attribution.on_broken(worker));
            }
            HeadVerdict::ServerError => {
                let is_suspected = self.is_worker_suspected(client);
                self.record_evidence(client, |attribution, worker, now| {
                    attribution.on_server_error(worker, is_suspected, now)
                });
            }
        }
    }

    fn record_failed_attempt(&mut self, client: &WorkerClient, failed: &FailedAttempt) {
        match (&failed.refusal, failed.end) {
            (Some(refusal), _) => {
                self.record_evidence(client, |attribution, worker, _| attribution.on_refusal(worker, refusal));
            }
            // The run waited for the whole of [`FIRST_EVENT_TIMEOUT`].
            (None, AttemptEnd::Silent) => {
                let now = client.view.clock.now();
                let is_queueing = client.view.workers().reports_full(&self.choice.incarnation(), now);
                self.record_evidence(client, |attribution, worker, now| {
                    attribution.on_silence(worker, is_queueing, now)
                });
            }
            (None, end) => self.record_attempt_evidence(client, end),
        }
    }

    /// Records the end of an attempt without a complete answer.
    fn record_attempt_evidence(&mut self, client: &WorkerClient, end: AttemptEnd) {
        let AttemptEnd::TooLarge { part } = end else {
            self.record_evidence(client, |attribution, worker, _| attribution.on_end(worker, end));
            return;
        };
        record_too_large(&self.choice.id, &self.item.id, part, &client.answers.limits);
        let is_suspected = self.is_worker_suspected(client);
        self.record_evidence(client, |attribution, worker, now| attribution.on_too_large(worker, is_suspected, now));
    }
}

/// Returns the keys that identify the item's content for crash tracking, independent of the ID it was submitted under.
pub fn item_keys(item: &JobItem, identity: &CallerIdentity, dialect: &dyn Dialect) -> RequestKeys {
    RequestKeys::of(&RequestContent {
        identity,
        method: Method::POST.as_str(),
        target: &item.path,
        attributes: &dialect.item_facts(item),
        body: &item.body,
    })
}
