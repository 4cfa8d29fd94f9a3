//! Whether a worker died under a request that ended there without a whole answer.
//!
//! A connection breaks for many reasons. Only a worker that can't be reached counts as dead: the difference between a
//! request that crashes its workers and one whose connection was reset. A worker goes on for a moment with a request that
//! was taken away from it, so it is looked at for as long.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::serving::crashes::RequestKeys;
use stallmoor_core::serving::workers::Choice;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::fleet::fleet_view::ObservedCrash;
use crate::workers::attempt::WorkerClient;
use crate::workers::connections::WorkerEndpoint;

/// The wait between the end of a run and the first look at its worker, in milliseconds: a process that ends closes its
/// connections and its listener one after the other.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(20);
/// The wait before the second look, in milliseconds, so that a worker that dies a moment later is known soon.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(80);
/// The wait before the last look, in milliseconds. A worker stops a run within half a second after its connection closed.
const LAST_CHECK_DELAY: Duration = Duration::from_millis(400);

/// A run of a request at a worker.
pub struct WorkerRun {
    /// Where it runs.
    pub choice: Choice,
    /// The worker's service.
    pub service: Arc<str>,
    /// The request's id.
    pub request_id: Arc<str>,
    /// The request's names.
    pub keys: RequestKeys,
    /// The last event of its answer, 0 for none.
    pub progress: u64,
}

/// Watches a run until it ends. One that is dropped was given up while the worker had it.
pub struct RunWatch {
    client: Arc<WorkerClient>,
    run: Option<WorkerRun>,
}

impl RunWatch {
    /// The request is sent to the worker.
    pub fn new(client: Arc<WorkerClient>, run: WorkerRun) -> Self {
        Self { client, run: Some(run) }
    }

    /// The answer came up to this event.
    pub fn record_progress(&mut self, event: u64) {
        if let Some(run) = &mut self.run {
            run.progress = event;
        }
    }

    /// The worker answered, or certainly did not begin to run the request.
    pub fn ended(mut self) {
        self.run = None;
    }

    /// The run broke off, or the worker was left. Returns the first look at the worker, while it lasts.
    pub fn interrupted(mut self) -> Option<JoinHandle<()>> {
        self.start_check()
    }

    fn start_check(&mut self) -> Option<JoinHandle<()>> {
        let run = self.run.take()?;
        let client = self.client.clone();
        // There is none while the process ends.
        let runtime = Handle::try_current().ok()?;
        Some(runtime.spawn(async move {
            if !client.check_crash(&run, FIRST_CHECK_DELAY).await {
                tokio::spawn(async move { client.check_again(&run).await });
            }
        }))
    }
}

impl Drop for RunWatch {
    fn drop(&mut self) {
        self.start_check();
    }
}

impl WorkerClient {
    async fn check_again(&self, run: &WorkerRun) {
        for delay in [SECOND_CHECK_DELAY, LAST_CHECK_DELAY] {
            if self.check_crash(run, delay).await {
                return;
            }
        }
    }

    /// Looks at the worker of a run that ended, and notes it if the worker died. Returns whether it did.
    async fn check_crash(&self, run: &WorkerRun, delay: Duration) -> bool {
        tokio::time::sleep(delay).await;
        let has_crashed = self.has_crashed(run).await;
        if has_crashed {
            self.view.record_crash(&ObservedCrash {
                request: run.request_id.clone(),
                keys: run.keys,
                worker: run.choice.id.clone(),
                progress: run.progress,
            });
        }
        has_crashed
    }

    /// Whether the worker can't be reached. Nothing is known, and so nothing is held against the request, where nothing
    /// may go to the worker's zone and where this node may open no further connection.
    async fn has_crashed(&self, run: &WorkerRun) -> bool {
        if self.view.workers().is_in_evacuated_zone(&run.choice.id) {
            return false;
        }
        let endpoint = WorkerEndpoint::of(&run.choice);
        if self.connections.has_idle(endpoint) {
            return false;
        }
        self.connections.probe(endpoint, self.max_connections_per_worker(&run.service)).await == Some(false)
    }
}
