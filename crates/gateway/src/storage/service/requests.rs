//! What other nodes ask of the leader.

use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::serving::configuration::tenant::TenantName;
use stallmoor_core::serving::jobs::command::JobCommand;
use stallmoor_core::serving::jobs::held_reads::HeldRead;
use stallmoor_core::serving::jobs::node::{JobsEffect, NotProposed, Waiter};
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::quota::message::{QuotaLevels, QuotaReport};
use stallmoor_core::time::Timestamp;

use super::StorageService;
use crate::storage::peer_listener::Reply;

impl StorageService {
    pub(super) fn on_request(&mut self, from: NodeId, request: JobsRequest, reply: Reply) {
        let now = self.now();
        match request {
            JobsRequest::Join => {
                self.members.heard(from, now);
                let _ = reply.send(Ok(JobsAnswer::Accepted));
            }
            JobsRequest::ReportLoad(loads) | JobsRequest::AggregateLoad(loads) if self.leads => {
                self.load_aggregator.tell(from, loads, now);
                let batch = self.workers.view.workers().own_loads();
                let totals = self.load_aggregator.without(from, &batch, now);
                let online = self.load_aggregator.online(now);
                self.workers.view.workers().set_shared_loads(&online, now);
                let _ = reply.send(Ok(JobsAnswer::Loads(totals)));
                self.yield_to_online(now);
            }
            JobsRequest::AggregateLoad(loads) => {
                self.load_aggregator.tell(from, loads, now);
                let totals = self.load_aggregator.without(from, &[], now);
                let _ = reply.send(Ok(JobsAnswer::Loads(totals)));
                self.tell_leader_loads(now);
            }
            JobsRequest::ReportQuota(report) if self.leads => {
                let news = self.take_quota_report(from, &report, now);
                let _ = reply.send(Ok(JobsAnswer::Quota(news)));
            }
            _ if !self.node.may_answer(now) => {
                let _ = reply.send(Err(self.refusal()));
            }
            JobsRequest::ReportLoad(_) | JobsRequest::ReportQuota(_) => {
                let _ = reply.send(Err(self.refusal()));
            }
            JobsRequest::Submit(submission) if !self.budget.admits(&submission, &self.node) => {
                let _ = reply.send(Ok(JobsAnswer::NoRoom));
            }
            JobsRequest::Submit(submission) => {
                let waiter = self.wait(reply);
                let proposed = self.node.submit(submission, waiter, now);
                self.on_proposed(waiter, proposed);
            }
            JobsRequest::End { job, caller } => {
                let waiter = self.wait(reply);
                let proposed = self.node.propose(&JobCommand::End { job, caller }, Some(waiter), now);
                self.on_proposed(waiter, proposed);
            }
            JobsRequest::Read { job, first, wait, caller } => {
                let waiter = self.wait(reply);
                self.reads.push(HeldRead { waiter, job, first, caller, deadline: now + wait });
                self.answer_reads();
            }
            JobsRequest::Body { job, item, caller } => {
                let found = self.node.table().job_for(&job, &caller).map(|found| found.open_item_named(&item));
                let answer = match found {
                    None => JobsAnswer::UnknownJob,
                    Some(None) => JobsAnswer::UnknownItem,
                    Some(Some(item)) => JobsAnswer::Body(item.body.clone()),
                };
                let _ = reply.send(Ok(answer));
            }
        }
    }

    /// A gateway tells what it let through of each tenant, and hears what they have left.
    fn take_quota_report(&mut self, from: NodeId, report: &QuotaReport, now: Timestamp) -> QuotaLevels {
        let configuration = self.workers.view.configuration();
        let limit_of = |tenant: &TenantName| configuration.as_ref()?.tenant(tenant)?.limit;
        self.quotas.report(from, report, limit_of, now)
    }

    pub(super) fn wait(&mut self, reply: Reply) -> Waiter {
        self.next_waiter += 1;
        let waiter = Waiter(self.next_waiter);
        self.replies.insert(waiter, reply);
        waiter
    }

    pub(super) fn on_proposed(&mut self, waiter: Waiter, proposed: Result<Vec<JobsEffect>, NotProposed>) {
        match proposed {
            Ok(effects) => self.take(effects),
            Err(not_proposed) => {
                let result = match not_proposed {
                    NotProposed::OverQuota { waiting } => Ok(JobsAnswer::OverQuota { waiting }),
                    NotProposed::Busy => Err(GroupRefusal::Busy),
                    NotProposed::NotLeader(_) => Err(self.refusal()),
                };
                if let Some(reply) = self.replies.remove(&waiter) {
                    let _ = reply.send(result);
                }
            }
        }
    }

    pub(super) fn refusal(&self) -> GroupRefusal {
        let replica = self.node.replica();
        if replica.is_leader() {
            return GroupRefusal::Busy;
        }
        GroupRefusal::NotLeader { term: replica.term(), leader: replica.leader() }
    }

    /// Answers the reads that have something to answer, or have waited long enough.
    pub(super) fn answer_reads(&mut self) {
        let now = self.now();
        let may_answer = self.node.may_answer(now);
        for due in self.reads.take_due(self.node.table(), may_answer, now) {
            if let Some(reply) = self.replies.remove(&due.waiter) {
                let _ = reply.send(due.answer.ok_or_else(|| self.refusal()));
            }
        }
    }
}
