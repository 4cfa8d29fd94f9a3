//! What of a replica's state is on disk, and the messages that need not wait for writes in progress.
//!
//! Heartbeats and their answers prove contact. They are sent as [`SendNow`](super::ReplicaEffect::SendNow), ahead of
//! writes in progress, so that a slow disk ends no lease. They claim only what is durable already: the current term must
//! be on disk, the commit index does not exceed the entries that the leader has written, and a follower acknowledges no
//! more than it has written.

use std::collections::VecDeque;

use super::log::{LogIndex, Term};
use super::message::{MessageKind, ReplicationMessage};
use super::replica::Replica;
use super::role::Role;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// A write that was handed to the caller and is not durable yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    /// The state once the write is durable.
    result: DurableState,
    truncate_from: Option<LogIndex>,
}

#[derive(Clone, Copy, Debug)]
struct DurableState {
    term: Term,
    last_index: LogIndex,
}

/// The durable part of a replica's state, and the writes in progress.
#[derive(Clone, Debug)]
pub(super) struct Durability {
    state: DurableState,
    pending: VecDeque<PendingWrite>,
    /// Number of completed writes.
    completed: u64,
    /// The number of completed writes when the leader last observed progress, and the time.
    progress: Option<(u64, Timestamp)>,
}

impl Durability {
    pub(super) fn new(term: Term, last_index: LogIndex) -> Self {
        Self { state: DurableState { term, last_index }, pending: VecDeque::new(), completed: 0, progress: None }
    }

    /// Records a write that was handed to the caller. Entries that it replaces no longer count as durable.
    pub(super) fn begin(&mut self, term: Term, last_index: LogIndex, truncate_from: Option<LogIndex>) {
        self.pending.push_back(PendingWrite { result: DurableState { term, last_index }, truncate_from });
        self.exclude_truncated();
    }

    /// Records that the oldest write is durable.
    pub(super) fn complete(&mut self) {
        if let Some(write) = self.pending.pop_front() {
            self.state = write.result;
            self.completed += 1;
            self.exclude_truncated();
        }
    }

    fn exclude_truncated(&mut self) {
        let truncated = self.pending.iter().filter_map(|write| write.truncate_from).min();
        if let Some(from) = truncated {
            self.state.last_index = self.state.last_index.min(from.previous());
        }
    }

    /// Returns whether writes are in progress and none has completed for `limit`.
    fn is_stalled(&mut self, limit: Millis, now: Timestamp) -> bool {
        if self.pending.is_empty() {
            self.progress = None;
            return false;
        }
        match self.progress {
            Some((completed, at)) if completed == self.completed => now.since(at) >= limit,
            _ => {
                self.progress = Some((self.completed, now));
                false
            }
        }
    }
}

impl Replica {
    /// Records that the oldest [`Persist`](super::ReplicaEffect::Persist) effect is durable. Required for each of them
    /// if heartbeats bypass writes.
    pub fn record_durable(&mut self) {
        self.durability.complete();
    }

    pub(super) fn begin_write(&mut self, truncate_from: Option<LogIndex>) {
        if self.settings.heartbeats_bypass_writes {
            self.durability.begin(self.hard_state.term, self.log.last_index(), truncate_from);
        }
    }

    fn may_bypass_writes(&self) -> bool {
        self.settings.heartbeats_bypass_writes && self.durability.state.term == self.hard_state.term
    }

    /// Sends a heartbeat ahead of writes in progress. Returns false if it could not be sent that way.
    pub(super) fn send_heartbeat_now(&mut self, to: NodeId, now: Timestamp) -> bool {
        if !self.may_bypass_writes() {
            return false;
        }
        let Some(progress) = self.progress(to).copied() else { return false };
        // While writes are in progress, the follower has not been sent the entries before `next` yet.
        let index = if self.durability.pending.is_empty() { progress.next.previous() } else { progress.matched };
        let known = self.log.term_at(index).map(|term| (index, term));
        // A follower that needs a snapshot is only kept from campaigning.
        let (previous_index, previous_term) = known.unwrap_or((LogIndex(0), Term(0)));
        let commit = self.commit.min(self.durability.state.last_index);
        let election_timeout = Some(self.settings.election_timeout);
        let entries = Vec::new();
        let kind =
            MessageKind::Append { previous_index, previous_term, commit, sent_at: now, election_timeout, entries };
        self.send_now(to, kind);
        true
    }

    /// Answers a heartbeat, ahead of writes in progress if the answer can be limited to what is durable.
    pub(super) fn answer_heartbeat(&mut self, to: NodeId, answer: HeartbeatAnswer) {
        let HeartbeatAnswer { accepted, index, sent_at, leader_is_current } = answer;
        let echo = Some(sent_at);
        let durable = if accepted { index.min(self.durability.state.last_index) } else { index };
        let is_complete = durable == index;
        // Leaders of earlier versions take an accepted index below the probed one as the point to resend from.
        let bypasses = self.may_bypass_writes() && (is_complete || leader_is_current);
        if bypasses {
            self.send_now(to, MessageKind::AppendAnswer { accepted, index: durable, echo });
        }
        if !bypasses || !is_complete {
            self.send(to, MessageKind::AppendAnswer { accepted, index, echo });
        }
    }

    fn send_now(&mut self, to: NodeId, kind: MessageKind) {
        let term = self.hard_state.term;
        self.urgent_messages.push(ReplicationMessage { group: self.group, from: self.id, to, term, kind });
    }

    /// Returns whether this replica leads and its disk has completed no write for so long that another one should lead.
    pub(super) fn leader_disk_is_stalled(&mut self, now: Timestamp) -> bool {
        let limit = self.settings.quorum_timeout;
        matches!(self.role, Role::Leader(_)) && self.durability.is_stalled(limit, now)
    }
}

/// The answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatAnswer {
    pub(super) accepted: bool,
    pub(super) index: LogIndex,
    pub(super) sent_at: Timestamp,
    /// Whether the leader runs a version that announces its election timeout.
    pub(super) leader_is_current: bool,
}
