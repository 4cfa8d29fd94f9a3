//! Runs batch items while this node is the leader: places, pauses and completes them.
//!
//! Owns the dispatcher and the tasks of active runs; both are empty while the node is not the leader. The dispatcher selects the next item and the worker table selects the worker. The service proposes
//! results and progress, and reports which were committed.

mod placement;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::crashes::{ItemAdmission, ItemWait, RequestKeys};
use stallmoor_core::serving::jobs::command::{ItemFailures, ItemKey, ItemProgress, JobCommand, JobKey, PartialOutput};
use stallmoor_core::serving::jobs::dispatch::{
    ContradictedItem, Dispatcher, FailedAt, IdleReview, ItemPacing, ItemStart, RunEnd, RunningItem, StartDecision,
    WaitCause, WaitingItems, WorkerNeeds, WorkerRuns, decide_start, max_attempts,
};
use stallmoor_core::serving::jobs::standstill::{Stall, StallCause};
use stallmoor_core::serving::jobs::table::{Job, JobTable};
use stallmoor_core::serving::online::attribution::Attribution;
use stallmoor_core::serving::request::PrefixBlock;
use stallmoor_core::serving::stream_origins::StreamOrigin;
use stallmoor_core::serving::workers::permit_grants::PermitGrants;
use stallmoor_core::serving::workers::{Choice, WorkerCount, WorkerId};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;

use placement::PlacementInputs;

use super::blocked_items::BlockedItems;
use super::item_events::{log_restart, log_run_end, log_run_start, log_trial, log_wait};
use super::load_exchange::LoadExchange;
use crate::fleet::metadata_view::MetadataView;
use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::storage::item_run::{FinishedRun, ItemRun, item_keys};
use crate::workers::attempt::WorkerClient;

/// Result of a run, sent by its task.
pub(super) struct RunReport {
    pub(super) key: ItemKey,
    pub(super) run: u64,
    pub(super) finished: FinishedRun,
}

/// A run in progress.
struct ActiveRun {
    run: u64,
    service: Arc<str>,
    worker: WorkerId,
    task: AbortHandle,
    /// Signals the run to stop and return its output so far.
    pause: Arc<Notify>,
    is_pausing: bool,
    /// Output accumulated so far, shared with the run.
    output: Arc<Mutex<PartialOutput>>,
}

impl ActiveRun {
    /// Requests the run to pause.
    fn pause(&mut self, key: &ItemKey, worker_runs: &mut WorkerRuns) {
        self.is_pausing = true;
        worker_runs.record_pause(&self.worker, key);
        self.pause.notify_one();
    }

    /// Returns the properties by which items are selected for a pause.
    fn running_item(&self, key: &ItemKey) -> RunningItem {
        let output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        RunningItem {
            key: key.clone(),
            run: self.run,
            events: output.last_event.unwrap_or(0),
            is_pausing: self.is_pausing,
        }
    }
}

/// Service and worker selected for an item.
struct Placement {
    service: Arc<str>,
    choice: Choice,
}

/// Whether an item may run after crashes.
enum Admission {
    /// The item runs, as a trial if its keys are given.
    Runs(Option<RequestKeys>),
    Waits(RequestKeys, ItemWait),
}

/// State of the service that the start of an item uses.
pub(super) struct StartInputs<'a> {
    pub(super) loads: &'a mut LoadExchange,
    pub(super) permits: &'a mut PermitGrants,
}

/// Dispatches items to workers and tracks their runs.
pub(super) struct ItemRunner {
    workers: Arc<WorkerClient>,
    metadata: Arc<MetadataView>,
    /// When the view was complete, as of the previous review of the origins.
    reviewed_view: Timestamp,
    dispatcher: Dispatcher,
    pacing: ItemPacing,
    /// The time since which no item has started for want of a configuration.
    unconfigured_since: Option<Timestamp>,
    blocked_items: BlockedItems,
    active: BTreeMap<ItemKey, ActiveRun>,
    /// The active runs by worker.
    worker_runs: WorkerRuns,
    last_run: u64,
    /// What the runs of items that failed said about their workers.
    attributions: BTreeMap<ItemKey, Attribution>,
    /// Unbounded: each run sends one report, and runs are bounded by the workers' slots.
    reports: mpsc::UnboundedSender<RunReport>,
}

impl ItemRunner {
    pub(super) fn new(
        workers: Arc<WorkerClient>,
        metadata: Arc<MetadataView>,
        reports: mpsc::UnboundedSender<RunReport>,
        now: Timestamp,
    ) -> Self {
        Self {
            workers,
            metadata,
            reviewed_view: Timestamp::default(),
            dispatcher: Dispatcher::default(),
            pacing: ItemPacing::new(now),
            unconfigured_since: None,
            blocked_items: BlockedItems::default(),
            active: BTreeMap::new(),
            worker_runs: WorkerRuns::default(),
            last_run: 0,
            attributions: BTreeMap::new(),
            reports,
        }
    }

    /// Called when this node becomes the leader. Schedules all open items of the table.
    pub(super) fn on_leadership_gained(&mut self, table: &JobTable) {
        self.dispatcher.restart(table);
        self.abort_all();
    }

    /// Called when this node is no longer the leader. Aborts all runs.
    pub(super) fn on_leadership_lost(&mut self) {
        self.dispatcher.clear();
        self.unconfigured_since = None;
        self.blocked_items.clear();
        self.abort_all();
    }

    /// Returns the number of items without a result.
    pub(super) fn open_count(&self) -> usize {
        self.dispatcher.open_count()
    }

    /// Adds the open items of a job.
    pub(super) fn add_job(&mut self, job: &Job) {
        self.dispatcher.add_job(job);
    }

    /// Called when an item's result is committed, whichever leader proposed it.
    pub(super) fn remove_committed(&mut self, key: &ItemKey) {
        self.dispatcher.remove(key);
        self.attributions.remove(key);
        self.abort(key);
    }

    /// Called when an item's result was not accepted. The item may be added again with its job.
    pub(super) fn withdraw(&mut self, key: &ItemKey) {
        self.dispatcher.withdraw(key);
        self.attributions.remove(key);
    }

    /// Called when a job has ended. Aborts its runs.
    pub(super) fn remove_job(&mut self, job: &JobKey) {
        for key in self.dispatcher.remove_job(job) {
            self.abort(&key);
        }
        self.attributions.retain(|key, _| key.job != *job);
    }

    fn abort(&mut self, key: &ItemKey) {
        if let Some(run) = self.remove_active(key) {
            abort_run(key, &run);
        }
    }

    fn remove_active(&mut self, key: &ItemKey) -> Option<ActiveRun> {
        let run = self.active.remove(key)?;
        self.worker_runs.remove(&run.worker, key);
        Some(run)
    }

    fn abort_all(&mut self) {
        self.attributions.clear();
        self.worker_runs = WorkerRuns::default();
        for (key, run) in std::mem::take(&mut self.active) {
            abort_run(&key, &run);
        }
    }

    /// Pauses batch items on workers where online requests are waiting. They resume later, after their last event.
    pub(super) fn yield_to_online(&mut self, now: Timestamp) {
        let excess_batch_items = self.workers.view.workers().excess_batch_items(now);
        for WorkerCount { worker, requests } in excess_batch_items {
            let due = self.worker_runs.pauses_due(&worker, requests);
            if due == 0 {
                continue;
            }
            self.pause_items(&worker, due);
            self.workers.view.workers().record_batch_yield(&worker, now);
            let fields = [
                Field::text("worker", &worker),
                Field::number("items", due as u64),
                Field::text("inputs", self.workers.view.workers().describe(&worker, now)),
            ];
            record(LogEvent::BatchYielded, &fields);
        }
    }

    /// Pauses `count` more items on a worker.
    fn pause_items(&mut self, worker: &WorkerId, count: usize) {
        let running = |key: &ItemKey| Some(self.active.get(key)?.running_item(key));
        let at_worker = self.worker_runs.continuing(worker).filter_map(running).collect();
        for key in self.dispatcher.choose_pauses(at_worker, count, self.workers.view.clock.wall_time()) {
            if let Some(run) = self.active.get_mut(&key) {
                run.pause(&key, &mut self.worker_runs);
            }
        }
    }

    /// Pauses items on workers in evacuated zones if other workers of the service are ready. The items resume on those,
    /// after their last event.
    pub(super) fn pause_evacuated(&mut self, now: Timestamp) {
        let workers = self.workers.view.workers();
        if !workers.has_evacuated_zones() {
            return;
        }
        for (key, run) in self.active.iter_mut().filter(|(_, run)| !run.is_pausing) {
            if workers.is_in_evacuated_zone(&run.worker) && workers.ready_count(&run.service, now) > 0 {
                run.pause(key, &mut self.worker_runs);
            }
        }
    }

    /// Starts items while workers have capacity. Returns whether results may be due.
    pub(super) fn dispatch(&mut self, table: &JobTable, mut inputs: StartInputs<'_>, now: Timestamp) -> bool {
        let configuration = self.workers.view.configuration();
        if let Some(configuration) = &configuration {
            self.dispatcher.update_configuration(configuration.version);
        }
        if !self.dispatcher.has_ready(now) {
            return false;
        }
        let Some(configuration) = configuration else {
            self.unconfigured_since.get_or_insert(now);
            return false;
        };
        self.unconfigured_since = None;
        let wall_time = self.workers.view.clock.wall_time();
        self.dispatcher.begin_round(configuration.version, now);
        while let Some((key, output)) = self.dispatcher.take_next(now, wall_time) {
            match decide_start(table.job(&key.job), key.item, &configuration, wall_time) {
                StartDecision::Unknown => self.dispatcher.remove(&key),
                StartDecision::GiveUp => {
                    self.dispatcher.give_up(&key);
                }
                StartDecision::AwaitConfiguration(version) => {
                    self.dispatcher.wait_for(&key, output, &WaitCause::Configuration(version), now);
                }
                StartDecision::Start(start) if self.dispatcher.is_exhausted(&key, start.route.max_attempts) => {
                    self.dispatcher.give_up(&key);
                }
                StartDecision::Start(start) => self.try_item(&key, start, output, &mut inputs, now),
            }
        }
        true
    }

    /// Starts an item if it may run and a worker has room. Otherwise the item waits.
    fn try_item(
        &mut self,
        key: &ItemKey,
        start: ItemStart,
        output: PartialOutput,
        inputs: &mut StartInputs<'_>,
        now: Timestamp,
    ) {
        let needs = self.needs_of(key, &start, &output);
        let cause = WaitCause::Worker(needs.clone());
        if self.dispatcher.is_held(&cause) {
            self.dispatcher.wait_for(key, output, &cause, now);
            return;
        }
        match self.admit_after_crashes(&start) {
            Admission::Waits(keys, wait) => self.delay_quarantined(key, &keys, output, &wait, now),
            Admission::Runs(trial) => {
                let has_started = self.start_run(key, start, output, needs, inputs, now);
                self.record_trial(key, has_started, trial.as_ref());
            }
        }
    }

    /// Gives up waiting items whose time is over, and reports those that do not start.
    pub(super) fn review_waiting(&mut self, table: &JobTable, now: Timestamp) {
        if !self.blocked_items.poll_review(now) {
            return;
        }
        if let Some(configuration) = self.workers.view.configuration() {
            let wall_time = self.workers.view.clock.wall_time();
            let decide = |key: &ItemKey| decide_start(table.job(&key.job), key.item, &configuration, wall_time);
            self.dispatcher.give_up_expired(decide);
        }
        let mut waiting = self.dispatcher.waiting();
        if let Some(since) = self.unconfigured_since {
            let items = self.dispatcher.open_count();
            waiting.push(WaitingItems { cause: WaitCause::AnyConfiguration, items, since });
        }
        self.blocked_items.review(&waiting, &self.workers.view, now);
    }

    /// Returns the items that have not run for some time and why.
    pub(super) fn review_idle(&mut self, now: Timestamp) -> IdleReview {
        let mut review = self.dispatcher.review_idle(now);
        review.stalls.extend(self.dispatcher.waiting().iter().map(|waiting| Stall::of_waiting(waiting, now)));
        if let Some(since) = self.unconfigured_since {
            review.stalls.retain(|stall| stall.cause != StallCause::Untried);
            let items = self.dispatcher.open_count();
            let waiting = WaitingItems { cause: WaitCause::AnyConfiguration, items, since };
            review.stalls.push(Stall::of_waiting(&waiting, now));
        }
        review
    }

    /// Returns the worker at which an item runs.
    pub(super) fn worker_of(&self, key: &ItemKey) -> Option<String> {
        self.active.get(key).map(|run| run.worker.to_string())
    }

    /// Returns the age of the view of the metadata store, and its bound.
    pub(super) fn view_age(&self) -> (Option<Millis>, Millis) {
        (self.metadata.state().age, self.metadata.contact_bound())
    }

    /// Decides whether an item may run although workers crashed while they ran it.
    fn admit_after_crashes(&self, start: &ItemStart) -> Admission {
        let view = &self.workers.view;
        if view.has_no_crashes() {
            return Admission::Runs(None);
        }
        let keys = item_keys(&start.item, &start.identity, &*self.workers.dialect);
        match view.admit_item_after_crashes(&keys) {
            ItemAdmission::Runs => Admission::Runs(None),
            ItemAdmission::Trial => Admission::Runs(Some(keys)),
            ItemAdmission::Waits(wait) => Admission::Waits(keys, wait),
        }
    }

    /// Records whether an admitted item was sent to a worker. `trial` identifies it if it runs as a trial.
    fn record_trial(&self, key: &ItemKey, has_started: bool, trial: Option<&RequestKeys>) {
        match trial {
            Some(keys) if has_started => log_trial(key, keys),
            Some(keys) => self.workers.view.crashes().cancel_trial(keys),
            None => {}
        }
    }

    fn delay_quarantined(
        &mut self,
        key: &ItemKey,
        keys: &RequestKeys,
        output: PartialOutput,
        wait: &ItemWait,
        now: Timestamp,
    ) {
        let wall_time = self.workers.view.clock.wall_time();
        if self.dispatcher.delay_quarantined(key, output, wait, now, wall_time) {
            log_wait(key, keys, wait, wall_time);
            measures::count_item_wait(wait.reason.name());
        }
    }

    /// Restarts the items to which a worker added that turns out to have another version than was assumed when it was
    /// chosen.
    pub(super) fn review_origins(&mut self, now: Timestamp) {
        let Some(age) = self.metadata.observation().age else { return };
        let confirmed_at = now - age;
        if confirmed_at <= self.reviewed_view {
            return;
        }
        // The workers' table may be about to receive the latest changes, but it has those of the previous review.
        let previous = std::mem::replace(&mut self.reviewed_view, confirmed_at);
        let contradicted = {
            let workers = self.workers.view.workers();
            self.dispatcher.restart_contradicted(|worker| workers.record(worker), previous)
        };
        for ContradictedItem { key, was_running, events } in contradicted {
            if was_running {
                self.abort(&key);
            }
            log_restart(&key, events);
        }
    }

    /// Starts an item on the worker with the most capacity. Otherwise the item waits.
    fn start_run(
        &mut self,
        key: &ItemKey,
        start: ItemStart,
        mut output: PartialOutput,
        needs: WorkerNeeds,
        inputs: &mut StartInputs<'_>,
        now: Timestamp,
    ) -> bool {
        let attributes = self.workers.dialect.item_facts(&start.item);
        let online_per_s = inputs.loads.placed_per_s(now);
        let acceptable = self.acceptable_needs(key, &start, needs, output.events(), now);
        let placement = acceptable.iter().find_map(|needs| {
            let inputs_of = PlacementInputs { start: &start, attributes: &attributes, needs, online_per_s };
            self.place(key, &inputs_of, inputs.permits, now).map(|choice| (needs, choice))
        });
        let Some((needs, choice)) = placement else {
            self.wait_for_worker(key, output, &acceptable, now);
            return false;
        };
        if needs.version.is_none() && output.last_event.is_some() {
            log_restart(key, output.events());
            output = PartialOutput::default();
            self.dispatcher.restart_item(key);
        }
        self.dispatcher.record_start(key, &WaitCause::Worker(needs.clone()), now);
        let service = needs.service.clone();
        self.spawn_run(key, start, output, &attributes.prefix, Placement { service, choice }, now);
        true
    }

    /// Starts the task of an item's run.
    fn spawn_run(
        &mut self,
        key: &ItemKey,
        start: ItemStart,
        output: PartialOutput,
        prefix: &[PrefixBlock],
        placement: Placement,
        now: Timestamp,
    ) {
        let Placement { service, choice } = placement;
        log_run_start(key, &choice, &output);
        let origin = StreamOrigin { service: service.clone(), version: choice.version.clone() };
        self.dispatcher.record_run(key, choice.id.clone(), origin, now);
        self.last_run += 1;
        let run = self.last_run;
        let worker = choice.id.clone();
        let in_flight = self.workers.place(&choice, &service, prefix, true);
        let (output, pause) = (Arc::new(Mutex::new(output)), Arc::new(Notify::new()));
        let run_service = service.clone();
        let ItemStart { item, host, identity, route, .. } = start;
        let item_run = ItemRun {
            item,
            host,
            identity,
            service,
            choice,
            decided_at: now,
            output: output.clone(),
            route: route.name.clone(),
            attribution: self.attributions.remove(key).unwrap_or_default(),
            pause: pause.clone(),
        };
        let (client, reports, report_key) = (self.workers.clone(), self.reports.clone(), key.clone());
        let task = tokio::spawn(async move {
            let finished = item_run.run(&client, in_flight).await;
            // The receiver is dropped only when the process ends.
            let _ = reports.send(RunReport { key: report_key, run, finished });
        });
        let active = ActiveRun {
            run,
            service: run_service,
            worker,
            task: task.abort_handle(),
            pause,
            is_pausing: false,
            output,
        };
        self.worker_runs.add(&active.worker, key);
        self.active.insert(key.clone(), active);
    }

    /// Lets an item wait for the workers that it prefers.
    fn wait_for_worker(&mut self, key: &ItemKey, output: PartialOutput, acceptable: &[WorkerNeeds], now: Timestamp) {
        match acceptable.first() {
            Some(needs) => self.dispatcher.wait_for(key, output, &WaitCause::Worker(needs.clone()), now),
            None => self.dispatcher.requeue(key, output),
        }
    }

    /// Processes the end of a run. Returns whether a result is due.
    pub(super) fn finish_run(&mut self, report: RunReport, table: &JobTable, now: Timestamp) -> bool {
        let is_current = self.active.get(&report.key).is_some_and(|active| active.run == report.run);
        if !is_current {
            return false;
        }
        let RunReport { key, finished: FinishedRun { end, output, worker, attribution }, .. } = report;
        self.remove_active(&key);
        log_run_end(&key, &format!("{end:?}"), &output);
        measures::count_run(end.name());
        let configuration = self.workers.view.configuration();
        let max_attempts = max_attempts(table.job(&key.job), configuration.as_deref());
        let is_evidence = matches!(end, RunEnd::Failed | RunEnd::OutputTooLarge);
        if is_evidence || self.dispatcher.failures(&key) > 0 {
            self.attributions.insert(key.clone(), attribution);
        }
        let is_suspected = self.workers.view.workers().is_suspected(&worker, now);
        let failed_at = Some(FailedAt { worker, is_suspected });
        self.dispatcher.finish_run_at(&key, &end, failed_at, output, max_attempts, now)
    }

    /// Excuses items for their recent failures at workers that have become suspected.
    pub(super) fn excuse_failures(&mut self, now: Timestamp) {
        let workers = self.workers.view.workers();
        self.dispatcher.excuse_failures(|worker| workers.is_suspected(worker, now), now);
    }

    /// Returns the commands for results that have not been proposed yet.
    pub(super) fn unproposed_results(&self) -> Vec<JobCommand> {
        self.dispatcher.unproposed_results()
    }

    /// Records that a result was proposed.
    pub(super) fn record_proposed_result(&mut self, command: &JobCommand) {
        self.dispatcher.record_proposed_result(command);
    }

    /// Returns the output that running items produced since it was last logged, if a progress entry is due. A new
    /// leader resumes the items from there.
    pub(super) fn progress_due(&mut self, now: Timestamp) -> Option<Vec<ItemProgress>> {
        if !self.pacing.poll_progress(now) {
            return None;
        }
        let progress_of = |(key, run): (&ItemKey, &ActiveRun)| {
            let output = run.output.lock().unwrap_or_else(PoisonError::into_inner);
            self.dispatcher.progress_of(key, &output)
        };
        let progress: Vec<ItemProgress> = self.active.iter().filter_map(progress_of).collect();
        (!progress.is_empty()).then_some(progress)
    }

    /// Returns the command that logs the origins of progress and has to precede it, if any.
    pub(super) fn origins_of(&self, progress: &[ItemProgress]) -> Option<JobCommand> {
        self.dispatcher.origins_of(progress)
    }

    /// Records that the command of [`ItemRunner::origins_of`] was proposed.
    pub(super) fn record_proposed_origins(&mut self, origins: &JobCommand) {
        self.dispatcher.record_proposed_origins(origins);
    }

    /// Returns the failed runs that are not logged yet. Logging them makes a new leader apply the same retry limit.
    pub(super) fn failures_due(&self) -> Option<Vec<ItemFailures>> {
        self.dispatcher.unlogged_failures()
    }

    /// Returns the command that discards the logged output of restarted items, if any.
    pub(super) fn restarts_due(&self) -> Option<JobCommand> {
        self.dispatcher.restarts_due()
    }

    /// Records that the command of [`ItemRunner::restarts_due`] was proposed.
    pub(super) fn record_proposed_restarts(&mut self) {
        self.dispatcher.record_proposed_restarts();
    }

    /// Records that failed runs were proposed.
    pub(super) fn record_proposed_failures(&mut self, failures: &[ItemFailures]) {
        self.dispatcher.record_proposed_failures(failures);
    }

    /// Records that progress was proposed.
    pub(super) fn record_proposed_progress(&mut self, progress: &[ItemProgress]) {
        for item in progress {
            self.dispatcher.record_proposed_progress(item);
        }
    }
}

/// Stops a run whose result is no longer needed, or that this node may not continue. Its connection is closed.
fn abort_run(key: &ItemKey, run: &ActiveRun) {
    run.task.abort();
    log_run_end(key, "Aborted", &run.output.lock().unwrap_or_else(PoisonError::into_inner));
    measures::count_run("aborted");
}
