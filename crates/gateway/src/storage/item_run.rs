//! One run of a batch item at a worker.
//!
//! It owns the attempt and its output while it lasts. What an answer means for the item, and how long it waits for one,
//! is decided in `core/serving/jobs/dispatch`. It relies on the worker's client for connections and the count of
//! requests in flight.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Method, Uri};
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::crashes::{RequestContent, RequestKeys};
use stallmoor_core::serving::jobs::command::{JobItem, PartialOutput};
use stallmoor_core::serving::jobs::dispatch::{EVENT_TIMEOUT, FIRST_EVENT_TIMEOUT, RunEnd};
use stallmoor_core::serving::online::event_stream::EventSplitter;
use stallmoor_core::serving::workers::Choice;

use tokio::sync::Notify;

use crate::adapter::dialect::{AttemptContext, Dialect};
use crate::workers::attempt::{Attempt, InFlight, OpenAnswer, WorkerClient};
use crate::workers::crash_check::{RunWatch, WorkerRun};

/// An item and where it runs.
pub struct ItemRun {
    /// The item.
    pub item: JobItem,
    /// The host that its job came to.
    pub host: Arc<str>,
    /// On whose behalf it runs.
    pub identity: CallerIdentity,
    /// The service of its route.
    pub service: Arc<str>,
    /// The worker.
    pub choice: Choice,
    /// What was put out so far, by earlier runs too. The service looks at it while the item runs.
    pub output: Arc<Mutex<PartialOutput>>,
    /// Notified when the run should stop for online requests.
    pub pause: Arc<Notify>,
}

impl ItemRun {
    /// Runs the item to its end. The output so far is handed back however that is.
    pub async fn run(self, client: &Arc<WorkerClient>, in_flight: InFlight) -> (RunEnd, PartialOutput) {
        let mut watch = self.watch(client);
        let end = self.try_run(client, in_flight).await;
        watch.record_progress(self.output().last_event.unwrap_or(0));
        match end {
            // The run's report doesn't wait for the look at the worker.
            RunEnd::BrokenOff | RunEnd::Paused => drop(watch),
            RunEnd::Completed => {
                watch.ended();
                self.record_completion(client);
            }
            RunEnd::Impossible | RunEnd::Failed | RunEnd::NotRun => watch.ended(),
        }
        (end, self.output().clone())
    }

    fn watch(&self, client: &Arc<WorkerClient>) -> RunWatch {
        let run = WorkerRun {
            choice: self.choice.clone(),
            service: self.service.clone(),
            request_id: self.item.id.clone(),
            keys: self.keys(client),
            progress: self.output().last_event.unwrap_or(0),
        };
        RunWatch::new(client.clone(), run)
    }

    /// Items are seldom the same one, so ends before any crash say little.
    fn record_completion(&self, client: &WorkerClient) {
        if !client.view.has_no_crashes() {
            client.view.record_completion(&self.item.id, self.keys(client));
        }
    }

    fn keys(&self, client: &WorkerClient) -> RequestKeys {
        item_keys(&self.item, &self.identity, &*client.dialect)
    }

    fn output(&self) -> MutexGuard<'_, PartialOutput> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn try_run(&self, client: &WorkerClient, in_flight: InFlight) -> RunEnd {
        let Ok(target) = self.item.path.parse::<Uri>() else { return RunEnd::Impossible };
        let terms = AttemptContext {
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
            headers: client.dialect.item_headers(&self.item, &self.host, &terms),
            body: bytes::Bytes::copy_from_slice(&self.item.body),
            in_flight,
            choice: self.choice.clone(),
        };
        let pause = self.pause.clone();
        let opened = tokio::select! {
            opened = client.open(attempt, Duration::from_millis(FIRST_EVENT_TIMEOUT.0)) => opened,
            () = pause.notified() => return RunEnd::Paused,
        };
        match opened {
            Ok(answer) => match RunEnd::from_status(answer.status.as_u16()) {
                Some(end) => end,
                None => self.read(client, answer).await,
            },
            Err(end) => RunEnd::from_attempt(end),
        }
    }

    async fn read(&self, client: &WorkerClient, mut answer: OpenAnswer) -> RunEnd {
        let mut splitter = EventSplitter::default();
        let pause = self.pause.clone();
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(Duration::from_millis(EVENT_TIMEOUT.0), answer.body.frame()) => frame,
                () = pause.notified() => return RunEnd::Paused,
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    for event in splitter.push(&frame.into_data().unwrap_or_default()) {
                        if !self.output().append_event(&event.data(), event.id) {
                            return self.broken(client, &answer);
                        }
                    }
                }
                Ok(None) if splitter.pending().is_empty() && self.output().last_event.is_some() => {
                    answer.release();
                    return RunEnd::Completed;
                }
                _ => return self.broken(client, &answer),
            }
        }
    }

    fn broken(&self, client: &WorkerClient, answer: &OpenAnswer) -> RunEnd {
        client.view.workers().failed(&answer.worker, true, client.view.clock.now());
        RunEnd::BrokenOff
    }
}

/// An item's names, which don't depend on the id under which it was submitted.
pub fn item_keys(item: &JobItem, identity: &CallerIdentity, dialect: &dyn Dialect) -> RequestKeys {
    RequestKeys::of(&RequestContent {
        identity,
        method: Method::POST.as_str(),
        target: &item.path,
        facts: &dialect.item_facts(item),
        body: &item.body,
    })
}
