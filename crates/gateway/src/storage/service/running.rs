//! Running items while this node leads: where each runs, when it pauses, and how it ended.

use std::sync::{Arc, Mutex, PoisonError};

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::command::{ItemKey, ItemProgress, JobCommand, PartialOutput};
use stallmoor_core::serving::jobs::dispatch::{
    ItemStart, RunEnd, RunningItem, StartDecision, decide_start, max_attempts,
};
use stallmoor_core::serving::workers::{WorkerAsk, WorkerId};
use stallmoor_core::time::Timestamp;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::StorageService;
use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::storage::item_run::ItemRun;

/// A run that ended.
pub(super) struct RunReport {
    pub(super) key: ItemKey,
    pub(super) run: u64,
    pub(super) end: RunEnd,
    pub(super) output: PartialOutput,
}

/// A run under way.
pub(super) struct ActiveRun {
    pub(super) run: u64,
    pub(super) worker: WorkerId,
    pub(super) task: AbortHandle,
    /// Asks the run to stop and hand back what it has.
    pub(super) pause: Arc<Notify>,
    pub(super) is_pausing: bool,
    /// What the item has put out so far.
    pub(super) output: Arc<Mutex<PartialOutput>>,
}

impl ActiveRun {
    /// What the order of pauses depends on.
    fn item(&self, key: &ItemKey) -> RunningItem {
        let output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        RunningItem {
            key: key.clone(),
            run: self.run,
            events: output.last_event.unwrap_or(0),
            is_pausing: self.is_pausing,
        }
    }
}

impl StorageService {
    /// Takes batch items off workers that are full. They go on later, after their last event.
    pub(super) fn yield_to_online(&mut self, now: Timestamp) {
        let overfull = self.workers.view.workers().overfull(now);
        for count in overfull {
            self.pause_items(&count.worker, count.requests as usize);
            let fields = [
                Field::text("worker", &count.worker),
                Field::number("items", count.requests),
                Field::text("inputs", self.workers.view.workers().describe(&count.worker, now)),
            ];
            record(LogEvent::BatchYielded, &fields);
        }
    }

    /// Pauses items at a worker until so many are on their way out.
    fn pause_items(&mut self, worker: &WorkerId, count: usize) {
        let there = self.running.iter().filter(|(_, running)| running.worker == *worker);
        let there = there.map(|(key, running)| running.item(key)).collect();
        for key in self.dispatcher.choose_pauses(there, count, self.workers.view.clock.civil()) {
            if let Some(running) = self.running.get_mut(&key) {
                running.is_pausing = true;
                running.pause.notify_one();
            }
        }
    }

    pub(super) fn dispatch(&mut self) {
        let now = self.now();
        if !self.leads || !self.pacing.may_start(now) || !self.dispatcher.has_ready(now) {
            return;
        }
        let Some(configuration) = self.workers.view.configuration() else { return };
        let civil = self.workers.view.clock.civil();
        while let Some((key, output)) = self.dispatcher.take_next(now, civil) {
            match decide_start(self.node.table().job(&key.job), key.item, &configuration, civil) {
                StartDecision::Unknown => {}
                StartDecision::GiveUp => {
                    self.dispatcher.give_up(&key);
                }
                StartDecision::AwaitConfiguration => {
                    self.dispatcher.put_back(&key, output);
                    return;
                }
                StartDecision::Start(start) => {
                    if !self.start_run(&key, start, output, now) {
                        self.pacing.found_no_room(now);
                        break;
                    }
                }
            }
        }
        self.propose_results();
    }

    /// Starts an item at the worker with the most room. Returns false if none has any.
    pub(super) fn start_run(&mut self, key: &ItemKey, start: ItemStart, output: PartialOutput, now: Timestamp) -> bool {
        let ItemStart { item, host, identity, route } = start;
        let view = self.workers.view.clone();
        let facts = self.workers.dialect.item_facts(&item);
        let online_per_s = self.load_aggregator.placed_per_s(now);
        let choice = view.draw_service(&route).and_then(|service| {
            let ask = WorkerAsk {
                service: &service,
                zone: &view.zone,
                prefix: &facts.prefix,
                prompt_tokens: facts.prompt_tokens,
                body_bytes: item.body.len(),
                tried: &[],
            };
            let mut random = view.random();
            let choice = view.workers().choose_for_batch(&ask, online_per_s, now, &mut *random);
            choice.map(|choice| (service, choice))
        });
        let Some((service, choice)) = choice else {
            self.dispatcher.put_back(key, output);
            return false;
        };
        self.next_run += 1;
        let run = self.next_run;
        let (client, reports, report_key) = (self.workers.clone(), self.reports.clone(), key.clone());
        let worker = choice.id.clone();
        let pause = Arc::new(Notify::new());
        let fields = [
            Field::text("job", &key.job),
            Field::number("item", key.item),
            Field::text("worker", &choice.id),
            Field::number("after_event", output.last_event.unwrap_or(0)),
            Field::number("load", choice.load),
            Field::number("candidates", choice.candidates as u64),
            Field::text("standing", choice.standing.name()),
        ];
        record(LogEvent::ItemRunStarted, &fields);
        let in_flight = self.workers.place(&choice, &service, &facts.prefix, true);
        let output = Arc::new(Mutex::new(output));
        let item_run = ItemRun { item, host, identity, service, choice, output: output.clone(), pause: pause.clone() };
        let task = tokio::spawn(async move {
            let (end, output) = item_run.run(&client, in_flight).await;
            // The service is gone only when the process ends.
            let _ = reports.send(RunReport { key: report_key, run, end, output });
        });
        self.running.insert(
            key.clone(),
            ActiveRun { run, worker, task: task.abort_handle(), pause, is_pausing: false, output },
        );
        true
    }

    pub(super) fn on_run_ended(&mut self, report: RunReport) {
        let is_current = self.running.get(&report.key).is_some_and(|running| running.run == report.run);
        if !is_current {
            return;
        }
        self.running.remove(&report.key);
        let fields = [
            Field::text("job", &report.key.job),
            Field::number("item", report.key.item),
            Field::text("end", format!("{:?}", report.end)),
            Field::number("events", report.output.last_event.unwrap_or(0)),
        ];
        record(LogEvent::ItemRunEnded, &fields);
        measures::run_ended(report.end.name());
        let configuration = self.workers.view.configuration();
        let max_attempts = max_attempts(self.node.table().job(&report.key.job), configuration.as_deref());
        let now = self.now();
        if self.dispatcher.run_ended(&report.key, &report.end, report.output, max_attempts, now) {
            self.propose_results();
        }
    }

    pub(super) fn propose_results(&mut self) {
        let now = self.now();
        for command in self.dispatcher.unlisted() {
            let JobCommand::Finish { key, .. } = &command else { continue };
            if !self.proposed.insert(key.clone()) {
                continue;
            }
            match self.node.propose(&command, None, now) {
                Ok(effects) => self.take(effects),
                Err(_) => {
                    self.proposed.remove(key);
                    return;
                }
            }
        }
    }

    /// Logs what running items have put out, so that another leader can go on from there.
    pub(super) fn propose_progress(&mut self) {
        let now = self.now();
        if !self.pacing.take_progress_turn(now) {
            return;
        }
        let progress_of = |(key, running): (&ItemKey, &ActiveRun)| {
            let output = running.output.lock().unwrap_or_else(PoisonError::into_inner);
            self.dispatcher.progress_of(key, &output)
        };
        let progress: Vec<ItemProgress> = self.running.iter().filter_map(progress_of).collect();
        if progress.is_empty() {
            return;
        }
        let command = JobCommand::Progress(progress);
        let Ok(effects) = self.node.propose(&command, None, now) else { return };
        if let JobCommand::Progress(progress) = &command {
            for item in progress {
                self.dispatcher.progress_proposed(item);
            }
        }
        self.take(effects);
    }
}
