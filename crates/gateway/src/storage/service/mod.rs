//! Main task of a storage node: drives one replica of the job table and runs items while the node is the leader.
//!
//! | module | contents |
//! |---|---|
//! | this one | the event loop, which routes each event to the components |
//! | `events` | the events and their sources |
//! | `step_times` | processor time of the steps, by kind |
//! | `replica_driver` | the replica, its disk and its links; executes effects in order, each after preceding writes |
//! | `answers` | pending answers to other nodes, and reads that wait for results |
//! | `requests` | handlers of the requests from other nodes |
//! | `item_runner` | the items that run while this node is the leader |
//! | `blocked_items` | reports of ready items that do not start |
//! | `stalls` | reports of items that make no progress |
//! | `item_events` | the log events of items |
//! | `joins` | join requests of a spare to the leader |
//! | `membership` | bootstrap, members, the pair record, drain reports |
//! | `startup` | construction of the service and its input channels |
//! | `load_exchange` | load reports of gateways, and their exchange with the leader |
//! | `outcome_exchange` | reports of nodes on failing workers, and their exchange with the leader |
//!
//! A single task runs all of it, so no component observes another in the middle of an event. After each event, effects
//! are executed as far as the disk allows, then leadership is re-evaluated, then items are dispatched.

mod answers;
mod blocked_items;
mod events;
mod item_events;
mod item_runner;
mod joins;
mod load_exchange;
mod membership;
mod outcome_exchange;
mod replica_driver;
mod requests;
mod stalls;
mod startup;
mod step_times;

use std::cell::LazyCell;
use std::sync::Arc;

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::replication::{MembershipChange, StandDownReason};
use stallmoor_core::serving::configuration::GatewayConfiguration;
use stallmoor_core::serving::jobs::command::{ItemKey, JobCommand, JobKey};
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::load_aggregator::GatewayCount;
use stallmoor_core::serving::jobs::members::{MembershipAction, spare_rank};
use stallmoor_core::serving::jobs::node::{JobsChange, JobsEffect};
use stallmoor_core::serving::jobs::placement::table_regions;
use stallmoor_core::serving::jobs::retention::Retention;
use stallmoor_core::serving::quota::coordinator::RateCoordinator;
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_core::serving::workers::outcome_report::OutcomeReport;
use stallmoor_core::serving::workers::permit_grants::PermitGrants;
use stallmoor_core::time::Timestamp;

use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::storage::disk_writer::WriteCompletion;
use crate::storage::peer_listener::PeerEvent;
use crate::workers::attempt::WorkerClient;
use answers::PendingAnswers;
use events::{EventSources, ServiceEvent};
use item_runner::{ItemRunner, RunReport, StartInputs};
use joins::JoinRequests;
use load_exchange::LoadExchange;
use membership::Membership;
pub use membership::OwnRecord;
use outcome_exchange::OutcomeExchange;
use replica_driver::ReplicaDriver;
use stalls::StallReports;
use startup::StartedService;
pub use startup::{StorageComponents, StorageInputs};
use step_times::{Step, StepTimes};

/// State of a running storage node.
pub struct StorageService {
    workers: Arc<WorkerClient>,
    replica: ReplicaDriver,
    answers: PendingAnswers,
    items: ItemRunner,
    membership: Membership,
    joins: JoinRequests,
    loads: LoadExchange,
    outcomes: OutcomeExchange,
    /// Remaining quota of tenants; in use while this node is the leader.
    quotas: RateCoordinator,
    /// Permits for workers in cold start; in use while this node is the leader.
    permits: PermitGrants,
    retention: Retention,
    steps: StepTimes,
    stalls: StallReports,
    /// Whether this node is the leader and has applied everything committed before its term.
    is_leader: bool,
}

impl StorageService {
    /// Runs until a graceful shutdown is complete or the disk fails.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed disk write. Nothing may be acknowledged after it.
    pub async fn run(
        components: StorageComponents,
        inputs: StorageInputs,
    ) -> Result<(), stallmoor_storage::StorageError> {
        let StartedService { mut service, results } = StartedService::new(components);
        let mut sources = EventSources::new(inputs, results);
        loop {
            let event = sources.next().await;
            let step = event.step();
            service.steps.start();
            service.on_event(event)?;
            service.steps.finish(step);
            service.update_leadership();
            if sources.is_stopping() {
                if service.stop() {
                    return Ok(());
                }
            } else {
                service.dispatch();
            }
            service.steps.finish(Step::Dispatch);
        }
    }

    fn on_event(&mut self, event: ServiceEvent) -> Result<(), stallmoor_storage::StorageError> {
        match event {
            ServiceEvent::Peer(event) => self.on_peer_event(event),
            ServiceEvent::Written(result) => self.on_written(result?),
            ServiceEvent::RunEnded(report) => self.on_run_ended(report),
            ServiceEvent::Update(update) => self.membership.on_update(&update),
            ServiceEvent::InitialMembership(membership) => self.membership.set_initial_membership(membership),
            ServiceEvent::PairRead(read) => self.membership.planner().finish_pair_write(read),
            ServiceEvent::LeaderLoads(loads) => self.on_leader_loads(loads),
            ServiceEvent::LeaderOutcomes(answer) => self.on_leader_outcomes(answer),
            ServiceEvent::PeerEnded(address) => self.replica.on_process_ended(address),
            ServiceEvent::SnapshotEncoded(snapshot) => self.replica.node_mut().finish_snapshot(snapshot),
            ServiceEvent::Tick => self.tick(),
            ServiceEvent::ReplicaTick => self.tick_replica(),
            ServiceEvent::Stop => {}
        }
        Ok(())
    }

    fn now(&self) -> Timestamp {
        self.workers.view.clock.now()
    }

    /// Queues effects and executes those that don't wait for the disk.
    fn execute_effects(&mut self, effects: Vec<JobsEffect>) {
        self.replica.enqueue(effects);
        self.drive_replica();
    }

    fn drive_replica(&mut self) {
        while let Some(changes) = self.replica.advance() {
            self.on_changes(changes);
        }
    }

    // Events.

    fn on_written(&mut self, written: WriteCompletion) {
        self.replica.on_written(written);
        self.drive_replica();
    }

    fn on_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Replication(message) => {
                let now = self.now();
                self.membership.planner().record_contact(message.from, now);
                let effects = self.replica.node_mut().step(message, now);
                self.execute_effects(effects);
                let changes = self.replica.node_mut().release_answers(now);
                self.on_changes(changes);
            }
            PeerEvent::Request { from, request, reply } => self.on_request(from, request, reply),
        }
    }

    fn on_leader_loads(&mut self, loads: Option<LoadReport>) {
        let now = self.now();
        self.loads.on_leader_answer(loads, self.is_leader, now);
    }

    fn on_leader_outcomes(&mut self, answer: Option<OutcomeReport>) {
        let now = self.now();
        self.outcomes.on_leader_answer(answer, self.is_leader, now);
    }

    fn on_run_ended(&mut self, report: RunReport) {
        let now = self.now();
        if self.items.finish_run(report, self.replica.node().table(), now) {
            self.propose_results();
        }
    }

    fn on_changes(&mut self, changes: Vec<JobsChange>) {
        let mut may_complete_reads = false;
        for change in changes {
            may_complete_reads |= matches!(change, JobsChange::ResultCommitted(_) | JobsChange::Ended(_));
            match change {
                JobsChange::Answer { waiter, answer } => self.answers.send(waiter, Ok(answer)),
                JobsChange::Accepted(job) => self.add_open_items(&job),
                JobsChange::ResultCommitted(key) => {
                    self.items.remove_committed(&key);
                    self.log_result(&key);
                }
                JobsChange::ResultDropped(key) => {
                    self.items.withdraw(&key);
                    self.add_open_items(&key.job);
                }
                JobsChange::Unreadable(index) => {
                    let detail = format!("entry {} of the job table's log", index.0);
                    record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
                }
                JobsChange::Ended(job) => {
                    self.items.remove_job(&job);
                    record(LogEvent::JobCancelled, &[Field::text("job", &job)]);
                }
            }
        }
        if may_complete_reads {
            self.answer_reads();
        }
    }

    fn add_open_items(&mut self, job: &JobKey) {
        if let Some(job) = self.replica.node().table().job(job).filter(|_| self.is_leader) {
            self.items.add_job(job);
        }
    }

    fn log_result(&self, key: &ItemKey) {
        let result = self.replica.node().table().job(&key.job).and_then(|job| job.result_of(key.item));
        let state = result.map_or_else(String::new, |result| format!("{:?}", result.state));
        let fields = [Field::text("job", &key.job), Field::number("item", key.item), Field::text("state", state)];
        record(LogEvent::ItemListed, &fields);
    }

    fn answer_reads(&mut self) {
        let now = self.now();
        self.answers.answer_reads(self.replica.node(), now);
    }

    // Items, while this node is the leader.

    fn dispatch(&mut self) {
        let now = self.now();
        let node = self.replica.node();
        // A leader that may not be able to commit results starts no runs: the next leader would repeat them.
        let may_start = self.is_leader && node.may_answer(now);
        let inputs = StartInputs { loads: &mut self.loads, permits: &mut self.permits };
        if may_start && self.items.dispatch(node.table(), inputs, now) {
            self.propose_results();
        }
    }

    fn propose_results(&mut self) {
        let now = self.now();
        for command in self.items.unproposed_results() {
            // Retried with the next tick.
            let Ok(effects) = self.replica.node_mut().propose(&command, None, now) else { return };
            self.items.record_proposed_result(&command);
            self.execute_effects(effects);
        }
    }

    /// Proposes to discard the logged output of restarted items.
    fn propose_restarts(&mut self) {
        let Some(command) = self.items.restarts_due() else { return };
        let now = self.now();
        // Retried with the next tick.
        let Ok(effects) = self.replica.node_mut().propose(&command, None, now) else { return };
        self.items.record_proposed_restarts();
        self.execute_effects(effects);
    }

    /// Proposes the output of running items, so that a new leader can resume them from there.
    fn propose_progress(&mut self) {
        let now = self.now();
        let Some(progress) = self.items.progress_due(now) else { return };
        if let Some(origins) = self.items.origins_of(&progress) {
            // Without its origin the next leader might have to discard the output.
            let Ok(effects) = self.replica.node_mut().propose(&origins, None, now) else { return };
            self.items.record_proposed_origins(&origins);
            self.execute_effects(effects);
        }
        let command = JobCommand::Progress(progress);
        // Retried after the next progress interval.
        let Ok(effects) = self.replica.node_mut().propose(&command, None, now) else { return };
        if let JobCommand::Progress(progress) = &command {
            self.items.record_proposed_progress(progress);
        }
        self.execute_effects(effects);
    }

    /// Proposes the number of failed runs per item, so that a change of leader does not reset the retry limit.
    fn propose_failures(&mut self) {
        let Some(failures) = self.items.failures_due() else { return };
        let now = self.now();
        let command = JobCommand::Failures(failures);
        // Retried with the next tick.
        let Ok(effects) = self.replica.node_mut().propose(&command, None, now) else { return };
        if let JobCommand::Failures(failures) = &command {
            self.items.record_proposed_failures(failures);
        }
        self.execute_effects(effects);
    }

    fn propose_forget(&mut self) {
        let now = self.now();
        let Some(forget_command) = self.retention.poll_forget(now, self.workers.view.clock.wall_time()) else { return };
        // If the proposal fails, the next round covers it.
        if let Ok(effects) = self.replica.node_mut().propose(&forget_command, None, now) {
            self.execute_effects(effects);
        }
    }

    // Time.

    fn tick_replica(&mut self) {
        let now = self.now();
        let effects = self.replica.node_mut().tick(now);
        self.execute_effects(effects);
        self.log_campaign();
    }

    fn log_campaign(&mut self) {
        let Some(campaign) = self.replica.node_mut().take_campaign() else { return };
        measures::count_election(campaign.reason.name());
        if let Some(leader) = campaign.lost_leader {
            let fields = [
                Field::text("leader", leader),
                Field::text("reason", campaign.reason.name()),
                Field::number("silence_ms", campaign.silence.0),
            ];
            record(LogEvent::LeaderLost, &fields);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let mut changes = self.replica.node_mut().release_answers(now);
        changes.extend(self.replica.node_mut().abandon_lost_proposals());
        self.on_changes(changes);
        self.answer_reads();
        self.bootstrap_if_due();
        self.join_if_due();
        self.maintain_membership();
        if self.is_leader {
            measures::set_open_items(self.items.open_count());
            let GatewayCount { reachable, known } = self.loads.gateways(now);
            self.quotas.record_gateway_count(reachable, known, now);
            self.workers.view.record_gateway_count(reachable.max(known));
            self.quotas.tick(now);
            measures::set_exhausted_tenants(self.quotas.exhausted());
            self.permits.evict_unused(now);
            self.items.pause_evacuated(now);
            self.items.review_origins(now);
            self.outcomes.share_own_runs(now);
            self.items.excuse_failures(now);
            self.items.review_waiting(self.replica.node().table(), now);
            self.loads.eject_reported(now);
            self.propose_results();
            // Discards logged output before new output follows it.
            self.propose_restarts();
            self.propose_progress();
            self.propose_failures();
            self.propose_forget();
            self.steps.log_if_due(now);
        }
        self.log_opened_once();
        self.review_stalls();
        self.steps.publish_if_due(now);
        self.workers.connections.close_stale();
    }

    // Members.

    fn bootstrap_if_due(&mut self) {
        let Some(initial_membership) = self.membership.due_bootstrap(self.replica.node().replica()) else { return };
        record(LogEvent::GroupFounded, &[Field::text("members", format!("{initial_membership:?}"))]);
        let now = self.now();
        let effects = self.replica.node_mut().bootstrap(initial_membership, now);
        self.execute_effects(effects);
    }

    /// Sends a join request to the leader if this node is a spare and the request is due.
    fn join_if_due(&mut self) {
        let now = self.now();
        let rank = {
            let view = &self.workers.view;
            spare_rank(&view.storage(), &view.zone, self.membership.id())
        };
        if self.membership.planner().poll_join(self.replica.node().replica(), rank, now) {
            self.joins.request(now);
        }
    }

    /// Executes the membership actions that are due.
    fn maintain_membership(&mut self) {
        // Kept records of storage nodes don't show whether a member's disk has a new identity.
        if !self.workers.view.is_synced() {
            return;
        }
        let now = self.now();
        let directory = self.workers.view.storage().clone();
        let replica = self.replica.node().replica();
        let view = &self.workers.view;
        let configuration = view.configuration();
        let regions = |known: &Arc<GatewayConfiguration>| table_regions(self.replica.node().table(), known);
        let allowed = LazyCell::new(|| configuration.as_ref().map(regions).unwrap_or_default());
        let may_store = |record: &StorageRecord| view.regions.allows(&allowed, &record.zone);
        let actions = self.membership.planner().plan(replica, self.is_leader, &directory, may_store, now);
        for action in actions {
            match action {
                MembershipAction::Change(change) => {
                    record(LogEvent::MembershipChanging, &[Field::text("change", format!("{change:?}"))]);
                    let effects = self.replica.node_mut().change_membership(change, now);
                    self.execute_effects(effects);
                }
                MembershipAction::TransferLeadership(target) => {
                    let effects = self.replica.node_mut().transfer_leadership(target, now);
                    self.execute_effects(effects);
                }
                MembershipAction::WritePair { record, revision } => self.membership.write_pair(record, revision),
                MembershipAction::WithdrawChange => {
                    let index = self.replica.node().replica().log().membership_index().0;
                    record(LogEvent::MembershipWithdrawn, &[Field::number("membership", index)]);
                    let effects = self.replica.node_mut().withdraw_membership_change();
                    self.execute_effects(effects);
                }
                MembershipAction::CampaignWithLearner => {
                    let learner = self.replica.node().replica().electing_learner();
                    let change = learner.map(MembershipChange::Promote);
                    record(LogEvent::MembershipChanging, &[Field::text("change", format!("{change:?}"))]);
                    let effects = self.replica.node_mut().campaign_with_learner(now);
                    self.execute_effects(effects);
                }
                MembershipAction::ContinueAlone => {
                    let index = self.replica.node().replica().log().membership_index().0;
                    record(LogEvent::WentOnAlone, &[Field::number("membership", index)]);
                    let effects = self.replica.node_mut().become_sole_voter(now);
                    self.execute_effects(effects);
                }
                MembershipAction::ReportDrain { machine, state } => self.membership.report_drain(machine, state),
            }
        }
    }

    fn update_leadership(&mut self) {
        let now = self.now();
        let node = self.replica.node();
        // A leader that temporarily may not answer keeps its running items.
        let is_leader = node.may_answer(now) || (self.is_leader && node.replica().is_leader());
        if is_leader == self.is_leader {
            return;
        }
        self.is_leader = is_leader;
        measures::set_is_leader(is_leader);
        let term = node.replica().term().0;
        if is_leader {
            let elected_at = node.replica().elected_at().unwrap_or(now);
            let fields = [Field::number("term", term), Field::number("first_commit_ms", now.since(elected_at).0)];
            record(LogEvent::LeaderElected, &fields);
            self.items.on_leadership_gained(node.table());
        } else {
            let reason = self.replica.node_mut().take_stand_down().map_or("replaced", StandDownReason::name);
            record(LogEvent::LeaderStoodDown, &[Field::number("term", term), Field::text("reason", reason)]);
            self.items.on_leadership_lost();
        }
        self.loads.clear();
        self.outcomes.clear();
        self.quotas.reset(now);
        self.permits.reset(now);
    }

    /// Advances a graceful shutdown by transferring leadership. Returns whether the process may exit.
    fn stop(&mut self) -> bool {
        let replica = self.replica.node().replica();
        if !replica.is_leader() {
            return self.replica.is_idle();
        }
        if let Some(target) = self.membership.planner().successor(replica) {
            let now = self.now();
            let effects = self.replica.node_mut().transfer_leadership(target, now);
            self.execute_effects(effects);
        }
        false
    }
}
