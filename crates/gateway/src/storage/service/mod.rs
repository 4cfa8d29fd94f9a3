//! A storing node at work: one replica of the job table, and the running of items while it leads.
//!
//! | module | owns |
//! |---|---|
//! | this one | the composition: each event goes to the parts it concerns, in one order |
//! | `replica_driver` | the replica, its disk and its links: effects in order, each after the writes ahead of it |
//! | `answers` | answers that other nodes wait for, reads that wait for a result |
//! | `requests` | which part answers which request |
//! | `item_runner` | the items that run while this node leads |
//! | `joins` | a spare's requests to the leader |
//! | `membership` | founding, members, the record of a group of two, reports of drained machines |
//! | `startup` | what the service is made of, and the channels that feed it |
//! | `load_exchange` | load reports of gateways, and the exchange with the leader |
//!
//! One task runs all of it, so no part sees another in the middle of an event. After each event, in this order:
//! effects are carried out as far as the disk allows, leadership is looked at, items are dispatched.

mod answers;
mod item_runner;
mod joins;
mod load_exchange;
mod membership;
mod replica_driver;
mod requests;
mod startup;

use std::cell::LazyCell;
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::log_event::LogEvent;
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
use stallmoor_core::serving::workers::permit_grants::PermitGrants;
use stallmoor_core::time::Timestamp;

use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::storage::disk_writer::Written;
use crate::storage::peer_listener::PeerEvent;
use crate::workers::attempt::WorkerClient;
use answers::PendingAnswers;
use item_runner::{ItemRunner, RunReport};
use joins::JoinRequests;
use load_exchange::LoadExchange;
use membership::Membership;
use replica_driver::ReplicaDriver;
use startup::StartedService;
pub use startup::{StorageInputs, StorageParts};

/// The time between two looks at the clock, in milliseconds. Bounds how late time is noticed, and the leader's
/// processor time.
const TICK: Duration = Duration::from_millis(40);

/// A storing node at work.
pub struct StorageService {
    workers: Arc<WorkerClient>,
    replica: ReplicaDriver,
    answers: PendingAnswers,
    items: ItemRunner,
    membership: Membership,
    joins: JoinRequests,
    loads: LoadExchange,
    /// What tenants have left, while this node leads.
    quotas: RateCoordinator,
    /// Permits for workers that have just started, while this node leads.
    permits: PermitGrants,
    retention: Retention,
    /// Whether this node leads and has read what was committed before.
    leads: bool,
}

impl StorageService {
    /// Runs until a planned stop is complete or the disk fails.
    ///
    /// # Errors
    ///
    /// The disk failed: nothing more may be acknowledged.
    pub async fn run(parts: StorageParts, mut inputs: StorageInputs) -> Result<(), stallmoor_storage::StorageError> {
        let StartedService { mut service, mut results } = StartedService::new(parts);
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = inputs.peers.recv() => service.on_peer(event),
                Some(result) = inputs.writes.recv() => service.on_written(result?),
                Some(report) = results.runs.recv() => service.on_run_ended(report),
                Some(update) = inputs.updates.recv() => service.membership.on_update(&update),
                Some(founding) = inputs.founding.recv() => service.membership.set_founding(founding),
                Some(read) = results.pairs.recv() => service.membership.members().finish_pair_write(read),
                Some(loads) = results.loads.recv() => service.on_leader_loads(loads),
                _ = ticks.tick() => service.tick(),
                Ok(()) = inputs.stop.changed() => {}
            }
            service.follow_leadership();
            if *inputs.stop.borrow() {
                if service.stop() {
                    return Ok(());
                }
            } else {
                service.dispatch();
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.workers.view.clock.now()
    }

    /// Queues effects behind those that wait, and carries out what the disk allows.
    fn take(&mut self, effects: Vec<JobsEffect>) {
        self.replica.enqueue(effects);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        while let Some(changes) = self.replica.advance() {
            self.on_changes(changes);
        }
    }

    // Events.

    fn on_written(&mut self, written: Written) {
        self.replica.on_written(written);
        self.carry_out();
    }

    fn on_peer(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Replication(message) => {
                let now = self.now();
                self.membership.members().record_contact(message.from, now);
                let effects = self.replica.node_mut().step(message, now);
                self.take(effects);
                let changes = self.replica.node_mut().release_answers(now);
                self.on_changes(changes);
            }
            PeerEvent::Request { from, request, reply } => self.on_request(from, request, reply),
        }
    }

    fn on_leader_loads(&mut self, loads: Option<LoadReport>) {
        let now = self.now();
        self.loads.on_leader_answer(loads, self.leads, now);
    }

    fn on_run_ended(&mut self, report: RunReport) {
        let now = self.now();
        if self.items.run_ended(report, self.replica.node().table(), now) {
            self.propose_results();
        }
    }

    fn on_changes(&mut self, changes: Vec<JobsChange>) {
        let mut reads_may_go_on = false;
        for change in changes {
            reads_may_go_on |= matches!(change, JobsChange::ResultCommitted(_) | JobsChange::Ended(_));
            match change {
                JobsChange::Answer { waiter, answer } => self.answers.send(waiter, Ok(answer)),
                JobsChange::Accepted(job) => self.add_open_items(&job),
                JobsChange::ResultCommitted(key) => {
                    self.items.result_committed(&key);
                    self.log_result(&key);
                }
                JobsChange::ResultDropped(key) => {
                    self.items.remove(&key);
                    self.add_open_items(&key.job);
                }
                JobsChange::Unreadable(index) => {
                    let detail = format!("entry {} of the job table's log", index.0);
                    record(LogEvent::RecordUnreadable, &[Field::text("detail", detail)]);
                }
                JobsChange::Ended(job) => {
                    self.items.job_ended(&job);
                    record(LogEvent::JobCancelled, &[Field::text("job", &job)]);
                }
            }
        }
        if reads_may_go_on {
            self.answer_reads();
        }
    }

    fn add_open_items(&mut self, job: &JobKey) {
        if let Some(job) = self.replica.node().table().job(job).filter(|_| self.leads) {
            self.items.add_job(job);
        }
    }

    fn log_result(&self, key: &ItemKey) {
        let result = self.replica.node().table().job(&key.job).and_then(|job| job.results.last());
        let state = result.map_or_else(String::new, |result| format!("{:?}", result.state));
        let fields = [Field::text("job", &key.job), Field::number("item", key.item), Field::text("state", state)];
        record(LogEvent::ItemListed, &fields);
    }

    fn answer_reads(&mut self) {
        let now = self.now();
        self.answers.answer_reads(self.replica.node(), now);
    }

    // Items, while this node leads.

    fn dispatch(&mut self) {
        let now = self.now();
        let table = self.replica.node().table();
        if self.leads && self.items.dispatch(table, &mut self.loads, &mut self.permits, now) {
            self.propose_results();
        }
    }

    fn propose_results(&mut self) {
        let now = self.now();
        for command in self.items.unproposed_results() {
            // A leader that can't propose now tries again with the next tick.
            let Ok(effects) = self.replica.node_mut().propose(&command, None, now) else { return };
            self.items.result_proposed(&command);
            self.take(effects);
        }
    }

    /// Logs what running items have put out, so that another leader can go on from there.
    fn propose_progress(&mut self) {
        let now = self.now();
        let Some(progress) = self.items.progress_due(now) else { return };
        let command = JobCommand::Progress(progress);
        // A leader that can't propose now logs it with the next round.
        let Ok(effects) = self.replica.node_mut().propose(&command, None, now) else { return };
        if let JobCommand::Progress(progress) = &command {
            self.items.progress_proposed(progress);
        }
        self.take(effects);
    }

    /// Logs how many runs of items have failed, so that a change of the leader does not allow them more.
    fn propose_failures(&mut self) {
        let Some(failures) = self.items.failures_due() else { return };
        let now = self.now();
        let command = JobCommand::Failures(failures);
        // A leader that can't propose now logs them with the next tick.
        let Ok(effects) = self.replica.node_mut().propose(&command, None, now) else { return };
        if let JobCommand::Failures(failures) = &command {
            self.items.failures_proposed(failures);
        }
        self.take(effects);
    }

    fn forget(&mut self) {
        let now = self.now();
        let Some(round) = self.retention.poll_forget(now, self.workers.view.clock.wall_time()) else { return };
        // A leader that can't propose now forgets with the next round.
        if let Ok(effects) = self.replica.node_mut().propose(&round, None, now) {
            self.take(effects);
        }
    }

    // Time.

    fn tick(&mut self) {
        let now = self.now();
        let effects = self.replica.node_mut().tick(now);
        self.take(effects);
        let mut changes = self.replica.node_mut().release_answers(now);
        changes.extend(self.replica.node_mut().abandon_lost_proposals());
        self.on_changes(changes);
        self.answer_reads();
        self.found_if_due();
        self.join_if_due();
        self.keep_members();
        if self.leads {
            measures::open_items(self.items.open_count());
            let GatewayCount { reachable, known } = self.loads.gateways(now);
            self.quotas.record_gateway_count(reachable, known, now);
            self.quotas.tick(now);
            measures::exhausted_tenants(self.quotas.exhausted());
            self.permits.evict_unused(now);
            self.items.leave_evacuated(now);
            self.loads.eject_reported(now);
            self.propose_results();
            self.propose_progress();
            self.propose_failures();
            self.forget();
        }
        self.workers.connections.close_stale();
    }

    // Members.

    fn found_if_due(&mut self) {
        let Some(founding) = self.membership.due_founding(self.replica.node().replica()) else { return };
        record(LogEvent::GroupFounded, &[Field::text("members", format!("{founding:?}"))]);
        let now = self.now();
        let effects = self.replica.node_mut().bootstrap(founding, now);
        self.take(effects);
    }

    /// A node outside the membership asks the leader to join, so that it may be taken in.
    fn join_if_due(&mut self) {
        let now = self.now();
        let rank = {
            let view = &self.workers.view;
            spare_rank(&view.storage(), &view.zone, self.membership.id())
        };
        if self.membership.members().poll_join(self.replica.node().replica(), rank, now) {
            self.joins.request(now);
        }
    }

    /// Carries out what is due of the membership.
    fn keep_members(&mut self) {
        let now = self.now();
        let directory = self.workers.view.storage().clone();
        let replica = self.replica.node().replica();
        let view = &self.workers.view;
        let configuration = view.configuration();
        let regions = |known: &Arc<GatewayConfiguration>| table_regions(self.replica.node().table(), known);
        let allowed = LazyCell::new(|| configuration.as_ref().map(regions).unwrap_or_default());
        let may_hold = |record: &StorageRecord| view.regions.allows(&allowed, &record.zone);
        let actions = self.membership.members().plan(replica, self.leads, &directory, may_hold, now);
        for action in actions {
            match action {
                MembershipAction::Change(change) => {
                    record(LogEvent::MembershipChanging, &[Field::text("change", format!("{change:?}"))]);
                    let effects = self.replica.node_mut().change_membership(change, now);
                    self.take(effects);
                }
                MembershipAction::TransferLeadership(target) => {
                    let effects = self.replica.node_mut().transfer_leadership(target, now);
                    self.take(effects);
                }
                MembershipAction::WritePair { record, revision } => self.membership.write_pair(record, revision),
                MembershipAction::ContinueAlone => {
                    let index = self.replica.node().replica().log().membership_index().0;
                    record(LogEvent::WentOnAlone, &[Field::number("membership", index)]);
                    let effects = self.replica.node_mut().become_sole_voter(now);
                    self.take(effects);
                }
                MembershipAction::ReportDrain { machine, state } => self.membership.report_drain(machine, state),
            }
        }
    }

    fn follow_leadership(&mut self) {
        let now = self.now();
        let node = self.replica.node();
        let leads = node.may_answer(now) || (self.leads && node.replica().is_leader());
        if leads == self.leads {
            return;
        }
        self.leads = leads;
        measures::leads(leads);
        let term = node.replica().term().0;
        if leads {
            record(LogEvent::LeaderElected, &[Field::number("term", term)]);
            self.items.begin_leading(node.table());
        } else {
            record(LogEvent::LeaderStoodDown, &[Field::number("term", term)]);
            self.items.end_leading();
        }
        self.loads.clear();
        self.quotas.reset(now);
        self.permits.reset(now);
    }

    /// Begins or goes on with a planned stop. Returns whether the process may end.
    fn stop(&mut self) -> bool {
        let replica = self.replica.node().replica();
        if !replica.is_leader() {
            return self.replica.is_settled();
        }
        if let Some(target) = self.membership.members().successor(replica) {
            let now = self.now();
            let effects = self.replica.node_mut().transfer_leadership(target, now);
            self.take(effects);
        }
        false
    }
}
