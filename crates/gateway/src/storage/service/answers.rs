//! Pending answers to other nodes.
//!
//! Owns the reply channels of pending requests: commands until they are committed, reads until there are results. Each
//! is identified by a [`Waiter`] and answered once. No separate limit is needed: commands are bounded by the replica's
//! uncommitted entries, reads by their deadlines, and the requests of all peers arrive through a bounded queue.

use std::collections::HashMap;

use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::serving::jobs::node::{JobsNode, NotProposed, Waiter};
use stallmoor_core::serving::jobs::pending_reads::{PendingRead, PendingReads};
use stallmoor_core::serving::jobs::request::JobsAnswer;
use stallmoor_core::time::Timestamp;

use crate::storage::peer_listener::Reply;

/// Requests that have not been answered yet.
#[derive(Default)]
pub(super) struct PendingAnswers {
    replies: HashMap<Waiter, Reply>,
    last_waiter: u64,
    reads: PendingReads,
}

impl PendingAnswers {
    /// Stores a reply channel until its answer is available.
    pub(super) fn register(&mut self, reply: Reply) -> Waiter {
        self.last_waiter += 1;
        let waiter = Waiter(self.last_waiter);
        self.replies.insert(waiter, reply);
        waiter
    }

    /// Sends the answer to a waiter.
    pub(super) fn send(&mut self, waiter: Waiter, answer: Result<JobsAnswer, GroupRefusal>) {
        if let Some(reply) = self.replies.remove(&waiter) {
            // A requester whose connection broke retries.
            let _ = reply.send(answer);
        }
    }

    /// Answers a waiter whose command was not proposed.
    pub(super) fn refuse(&mut self, waiter: Waiter, reason: NotProposed, node: &JobsNode) {
        let answer = match reason {
            NotProposed::OverQuota { waiting } => Ok(JobsAnswer::OverQuota { waiting }),
            NotProposed::Busy => Err(GroupRefusal::Busy),
            NotProposed::NotLeader(_) => Err(refusal_of(node)),
        };
        self.send(waiter, answer);
    }

    /// Adds a read. [`PendingAnswers::answer_reads`] answers it once it is due.
    pub(super) fn add_read(&mut self, read: PendingRead) {
        self.reads.push(read);
    }

    /// Answers the reads that have results or whose deadline has passed.
    pub(super) fn answer_reads(&mut self, node: &JobsNode, now: Timestamp) {
        for due in self.reads.take_due(node.table(), node.may_answer(now), now) {
            self.send(due.waiter, due.answer.ok_or_else(|| refusal_of(node)));
        }
    }
}

/// Returns the reason for which a replica that may not answer refuses a request.
pub(super) fn refusal_of(node: &JobsNode) -> GroupRefusal {
    let replica = node.replica();
    if replica.is_leader() {
        return GroupRefusal::Busy;
    }
    GroupRefusal::NotLeader { term: replica.term(), leader: replica.leader() }
}
