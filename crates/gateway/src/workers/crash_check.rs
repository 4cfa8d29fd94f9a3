//! Checks whether a worker crashed after a request ended there without a complete answer.
//!
//! Connections break for many reasons, so only a worker that accepts no new connection counts as crashed. This
//! distinguishes requests that crash workers from those whose connection was reset. As a worker may run a canceled
//! request for a moment longer, the check is repeated over that time.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::serving::crashes::{CrashedRun, IncompleteEnd, RequestKeys, has_survived};
use stallmoor_core::serving::workers::Choice;
use stallmoor_core::time::{Millis, Timestamp};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::fleet::crash_view::ObservedCrash;
use crate::workers::attempt::WorkerClient;
use crate::workers::connections::WorkerEndpoint;

/// Delay between the end of a run and the first check: an exiting process closes its connections before its listener,
/// or the other way round.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(20);
/// Delay between the first and the second check, short enough to detect a slightly later crash early.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(80);
/// Delay before the last check. Workers stop a run within 500 ms after its connection was closed.
const LAST_CHECK_DELAY: Duration = Duration::from_millis(400);

/// A run of a request at a worker.
pub struct WorkerRun {
    /// The worker that runs the request.
    pub choice: Choice,
    /// The worker's service, which determines the limit on connections.
    pub service: Arc<str>,
    /// The request's ID.
    pub request_id: Arc<str>,
    /// Whether the request is a batch item.
    pub is_item: bool,
    /// The digests by which the request's crashes are counted.
    pub keys: RequestKeys,
    /// Number of the last event before the run, 0 for none.
    pub started_after: u64,
    /// Number of the last event received from the worker, 0 for none.
    pub progress: u64,
}

impl WorkerRun {
    /// Returns whether the worker went on with the request after its first event, so that no part of the prompt crashes
    /// workers.
    fn has_survived(&self) -> bool {
        has_survived(self.events())
    }

    /// Returns the number of events received from the worker during the run.
    fn events(&self) -> u64 {
        self.progress.saturating_sub(self.started_after)
    }
}

/// A run without a complete answer, whose worker is checked.
struct IncompleteRun {
    run: WorkerRun,
    end: IncompleteEnd,
    /// Time from the start of the run to its end.
    lasted: Millis,
}

/// Guard that checks the worker when a run ends without a complete answer. Dropping it counts as abandoning the run.
pub struct RunWatch {
    client: Arc<WorkerClient>,
    run: Option<WorkerRun>,
    started_at: Timestamp,
}

impl RunWatch {
    /// Starts watching a request that is being sent to a worker.
    pub fn new(client: Arc<WorkerClient>, run: WorkerRun) -> Self {
        let started_at = client.view.clock.now();
        Self { client, run: Some(run), started_at }
    }

    /// Records the number of the last event received, and the first time the worker has survived the request.
    pub fn record_progress(&mut self, event: u64) {
        let Some(run) = &mut self.run else { return };
        let had_survived = run.has_survived();
        run.progress = event;
        if !had_survived && run.has_survived() {
            self.client.view.record_survival(&run.request_id, &run.keys);
        }
    }

    /// Ends the watch without a check: the worker answered or did not start the request.
    pub fn finish(mut self) {
        self.run = None;
    }

    /// Starts the checks after a run was interrupted. Returns the task of the first check.
    pub fn interrupted(mut self) -> Option<JoinHandle<()>> {
        self.start_check(IncompleteEnd::BrokenOff)
    }

    fn start_check(&mut self, end: IncompleteEnd) -> Option<JoinHandle<()>> {
        let lasted = self.client.view.clock.now().since(self.started_at);
        let run = self.run.take().filter(|run| end.counts_if_crashed(run.events()))?;
        let run = IncompleteRun { run, end, lasted };
        let client = self.client.clone();
        // No runtime is available during shutdown.
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
        self.start_check(IncompleteEnd::Abandoned);
    }
}

impl WorkerClient {
    async fn check_again(&self, run: &IncompleteRun) {
        for delay in [SECOND_CHECK_DELAY, LAST_CHECK_DELAY] {
            if self.check_crash(run, delay).await {
                return;
            }
        }
    }

    /// Checks the worker after `delay` and records a crash. Returns whether the worker crashed.
    async fn check_crash(&self, incomplete: &IncompleteRun, delay: Duration) -> bool {
        tokio::time::sleep(delay).await;
        let IncompleteRun { run, end, lasted } = incomplete;
        let has_crashed = self.has_crashed(run).await;
        if has_crashed {
            self.view.record_crash(&ObservedCrash {
                request: run.request_id.clone(),
                keys: run.keys.clone(),
                worker: run.choice.id.clone(),
                progress: run.progress,
                has_survived: run.has_survived(),
                is_item: run.is_item,
                end: *end,
                run: self.crashed_run(run, *lasted),
            });
        }
        has_crashed
    }

    fn crashed_run(&self, run: &WorkerRun, lasted: Millis) -> CrashedRun {
        let ready = self.view.workers().ready_count(&run.service, self.view.clock.now());
        CrashedRun {
            service: run.service.clone(),
            workers: u32::try_from(ready).unwrap_or(u32::MAX),
            lasted,
            events: run.events(),
        }
    }

    /// Returns whether the worker is unreachable. Without evidence, that is if the worker's zone is evacuated or the
    /// connection limit is reached, it does not count as crashed.
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
