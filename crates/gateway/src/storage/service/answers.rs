//! Answers that are due to other nodes.
//!
//! It owns the reply channels of the requests that wait: commands until they are committed, and reads until there is
//! something to read. Each waits under a [`Waiter`]; a waiter is answered once. Their number needs no bound of its
//! own: commands are bounded by the replica's uncommitted entries, reads by their deadlines, and each peer's requests
//! come through one bounded queue.

use std::collections::HashMap;

use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::serving::jobs::node::{JobsNode, NotProposed, Waiter};
use stallmoor_core::serving::jobs::pending_reads::{PendingRead, PendingReads};
use stallmoor_core::serving::jobs::request::JobsAnswer;
use stallmoor_core::time::Timestamp;

use crate::storage::peer_listener::Reply;

/// The requests that wait.
#[derive(Default)]
pub(super) struct PendingAnswers {
    replies: HashMap<Waiter, Reply>,
    last_waiter: u64,
    reads: PendingReads,
}

impl PendingAnswers {
    /// Keeps a reply channel until its answer is there.
    pub(super) fn wait(&mut self, reply: Reply) -> Waiter {
        self.last_waiter += 1;
        let waiter = Waiter(self.last_waiter);
        self.replies.insert(waiter, reply);
        waiter
    }

    /// Answers a waiter.
    pub(super) fn send(&mut self, waiter: Waiter, answer: Result<JobsAnswer, GroupRefusal>) {
        if let Some(reply) = self.replies.remove(&waiter) {
            // An asker whose connection broke asks again.
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

    /// Holds a read. [`PendingAnswers::answer_reads`] answers it if it need not wait.
    pub(super) fn hold(&mut self, read: PendingRead) {
        self.reads.push(read);
    }

    /// Answers the reads that have something to answer, or have waited long enough.
    pub(super) fn answer_reads(&mut self, node: &JobsNode, now: Timestamp) {
        for due in self.reads.take_due(node.table(), node.may_answer(now), now) {
            self.send(due.waiter, due.answer.ok_or_else(|| refusal_of(node)));
        }
    }
}

/// Why a replica that may not answer refuses.
pub(super) fn refusal_of(node: &JobsNode) -> GroupRefusal {
    let replica = node.replica();
    if replica.is_leader() {
        return GroupRefusal::Busy;
    }
    GroupRefusal::NotLeader { term: replica.term(), leader: replica.leader() }
}
