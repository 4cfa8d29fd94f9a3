//! Handles requests that other nodes send to the leader or to the load aggregator of a zone.

use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::serving::configuration::tenant::{CallerIdentity, TenantName};
use stallmoor_core::serving::jobs::command::{JobCommand, JobKey, Submission};
use stallmoor_core::serving::jobs::pending_reads::PendingRead;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::quota::message::{QuotaLevels, QuotaReport};
use stallmoor_core::serving::workers::{WorkerCount, WorkerId};
use stallmoor_core::time::Timestamp;

use super::StorageService;
use super::answers::refusal_of;
use crate::storage::peer_listener::Reply;

impl StorageService {
    pub(super) fn on_request(&mut self, from: NodeId, request: JobsRequest, reply: Reply) {
        let now = self.now();
        // Failures to send a reply are ignored: a requester whose connection broke retries.
        match request {
            JobsRequest::Join => {
                self.membership.planner().record_contact(from, now);
                let _ = reply.send(Ok(JobsAnswer::Accepted));
            }
            JobsRequest::ReportLoad(loads) | JobsRequest::AggregateLoad(loads) if self.is_leader => {
                let totals = self.loads.report_to_leader(from, loads, now);
                let _ = reply.send(Ok(JobsAnswer::Loads(totals)));
                if self.loads.update_own_view(now) {
                    self.items.yield_to_online(now);
                }
            }
            JobsRequest::AggregateLoad(loads) => {
                let totals = self.loads.report_to_aggregator(from, loads, now);
                let _ = reply.send(Ok(JobsAnswer::Loads(totals)));
                self.loads.exchange_with_leader(now);
            }
            JobsRequest::ReportQuota(report) if self.is_leader => {
                let levels = self.record_quota_report(from, &report, now);
                let _ = reply.send(Ok(JobsAnswer::Quota(levels)));
            }
            JobsRequest::ReportLoad(_) | JobsRequest::ReportQuota(_) => self.refuse(reply),
            // The sums of a zone are for the leader alone: another aggregator would pass them on as its own.
            JobsRequest::ReportOutcomes(_) if !self.is_leader && self.outcomes.is_aggregator(from) => {
                self.refuse(reply)
            }
            JobsRequest::ReportOutcomes(report) => {
                let sums = self.outcomes.report(from, report, now);
                let _ = reply.send(Ok(JobsAnswer::Outcomes(sums)));
                if !self.is_leader {
                    self.outcomes.exchange_with_leader(now);
                }
            }
            // Two replicas granting at once would exceed the limits, so only a confirmed leader continues from here.
            _ if !self.replica.node().may_answer(now) => self.refuse(reply),
            JobsRequest::RequestPermits(wanted) => {
                let granted = self.grant_permits(&wanted, now);
                let _ = reply.send(Ok(JobsAnswer::Permits(granted)));
            }
            JobsRequest::Submit(submission) => self.submit(submission, reply, now),
            JobsRequest::End { job, caller } => self.end_job(JobCommand::End { job, caller }, reply, now),
            JobsRequest::Read { job, first, wait, caller } => {
                let waiter = self.answers.register(reply);
                self.answers.add_read(PendingRead { waiter, job, first, caller, deadline: now + wait });
                self.answer_reads();
            }
            JobsRequest::Body { job, item, caller } => {
                let _ = reply.send(Ok(self.body_of(&job, &item, &caller)));
            }
        }
    }

    fn refuse(&self, reply: Reply) {
        let refusal = match refusal_of(self.replica.node()) {
            // A spare receives no replication messages, but locates the leader for its join requests.
            GroupRefusal::NotLeader { term, leader: None } if !self.is_member() => {
                GroupRefusal::NotLeader { term, leader: self.joins.leader() }
            }
            refusal => refusal,
        };
        let _ = reply.send(Err(refusal));
    }

    pub(super) fn is_member(&self) -> bool {
        self.replica.node().replica().membership().contains(self.membership.id())
    }

    fn submit(&mut self, submission: Submission, reply: Reply, now: Timestamp) {
        if !self.replica.admits(&submission) {
            let _ = reply.send(Ok(JobsAnswer::NoRoom));
            return;
        }
        let waiter = self.answers.register(reply);
        match self.replica.node_mut().submit(submission, waiter, now) {
            Ok(effects) => self.execute_effects(effects),
            Err(reason) => self.answers.refuse(waiter, reason, self.replica.node()),
        }
    }

    fn end_job(&mut self, command: JobCommand, reply: Reply, now: Timestamp) {
        let waiter = self.answers.register(reply);
        match self.replica.node_mut().propose(&command, Some(waiter), now) {
            Ok(effects) => self.execute_effects(effects),
            Err(reason) => self.answers.refuse(waiter, reason, self.replica.node()),
        }
    }

    fn body_of(&self, job: &JobKey, item: &str, caller: &CallerIdentity) -> JobsAnswer {
        let found = self.replica.node().table().job_for(job, caller);
        match found.map(|found| found.open_item_by_id(item)) {
            None => JobsAnswer::UnknownJob,
            Some(None) => JobsAnswer::UnknownItem,
            Some(Some(item)) => JobsAnswer::Body(item.body.clone()),
        }
    }

    /// Grants permits for workers in cold start.
    pub(super) fn grant_permits(&mut self, wanted: &[WorkerId], now: Timestamp) -> Vec<WorkerCount> {
        let workers = self.workers.view.workers();
        self.permits.grant(wanted, |worker| workers.cold_start_of(worker), now)
    }

    /// Records the usage that a gateway admitted per tenant and returns the remaining quotas.
    fn record_quota_report(&mut self, from: NodeId, report: &QuotaReport, now: Timestamp) -> QuotaLevels {
        let configuration = self.workers.view.configuration();
        let limit_of = |tenant: &TenantName| configuration.as_ref()?.tenant(tenant)?.limit;
        self.quotas.report(from, report, limit_of, now)
    }
}
