//! Leader behavior: replicates the log to followers and advances the commit index.

use std::collections::BTreeSet;

use super::log::{Entry, EntryPayload, LogIndex};
use super::message::MessageKind;
use super::progress::Progress;
use super::replica::{ProposalError, Replica};
use super::role::Role;
use super::stand_down::StandDownReason;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Number of usual answer times after which entries without an answer are resent. High enough that a follower with a
/// slow disk does not receive the same entries twice.
const RESEND_AFTER_ANSWER_TIMES: u64 = 3;
/// Factor by which the resend timeout of a snapshot exceeds that of entries, so that a snapshot in transit is not sent
/// twice.
const SNAPSHOT_RESEND_FACTOR: u64 = 4;
/// Minimum expected bandwidth for snapshot transfers, in bytes per millisecond. Extends the resend timeout of large
/// snapshots.
const MIN_SNAPSHOT_BYTES_PER_MS: u64 = 1_000;
/// Number of usual answer times without an answer after which a follower is sent only empty heartbeats, so that no
/// bandwidth is spent on an unreachable node.
const UNRESPONSIVE_AFTER_ANSWER_TIMES: u64 = 4;

impl Replica {
    pub(super) fn check_proposal(&self) -> Result<(), ProposalError> {
        let Role::Leader(state) = &self.role else {
            return Err(ProposalError::NotLeader(self.leader()));
        };
        let uncommitted = self.log.last_index().0 - self.commit.0;
        if state.transfer.is_some() || uncommitted >= self.settings.max_uncommitted_entries {
            return Err(ProposalError::Busy);
        }
        Ok(())
    }

    pub(super) fn append_as_leader(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = Entry { term: self.hard_state.term, index, payload };
        self.log.append(entry.clone());
        self.write.entries.push(entry);
        index
    }

    pub(super) fn track_members(&mut self, now: Timestamp) {
        let next = self.log.last_index().next();
        let members: BTreeSet<NodeId> = self.log.membership().members().collect();
        let id = self.id;
        if let Role::Leader(state) = &mut self.role {
            state.progress.retain(|node, _| members.contains(node));
            for member in members.into_iter().filter(|member| *member != id) {
                state.progress.entry(member).or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        self.watch_commit(now);
        if let Some(reason) = self.reason_to_stand_down(now) {
            self.stand_down(reason, now);
            return;
        }
        let heartbeat = self.settings.heartbeat_interval;
        let Role::Leader(state) = &mut self.role else { return };
        if state.transfer.is_some_and(|transfer| now >= transfer.deadline) {
            // The target may still start an election at any time, so this leader must not resume normal operation.
            self.stand_down(StandDownReason::TransferTimedOut, now);
            return;
        }
        if now.since(state.last_heartbeat) >= heartbeat {
            state.last_heartbeat = now;
            self.rewind_unacknowledged(now);
            self.send_heartbeats(now);
            self.send_timeout_now_if_ready();
        }
    }

    fn reason_to_stand_down(&mut self, now: Timestamp) -> Option<StandDownReason> {
        if !self.has_quorum_contact(now) {
            return Some(StandDownReason::NoContact);
        }
        if self.leader_disk_is_stalled(now) {
            return Some(StandDownReason::DiskStalled);
        }
        self.should_make_way(now).then_some(StandDownReason::NoCommit)
    }

    /// Returns the time without an answer after which a follower is sent no entries.
    fn unresponsive_timeout(&self) -> Millis {
        Millis(self.settings.answer_time.0 * UNRESPONSIVE_AFTER_ANSWER_TIMES)
    }

    /// Rewinds the progress of followers that did not acknowledge entries or a snapshot in time, so that these are sent
    /// again.
    pub(super) fn rewind_unacknowledged(&mut self, now: Timestamp) {
        let wait = Millis(self.settings.answer_time.0 * RESEND_AFTER_ANSWER_TIMES);
        let transfer_time = Millis(self.log.snapshot().state.len() as u64 / MIN_SNAPSHOT_BYTES_PER_MS);
        if let Role::Leader(state) = &mut self.role {
            for progress in state.progress.values_mut() {
                let idle = now.since(progress.last_sent);
                let awaits_answer = progress.next > progress.matched.next();
                if awaits_answer && idle >= wait && progress.pending_snapshot.is_none() {
                    progress.next = progress.matched.next().max(LogIndex(1));
                    progress.probing = true;
                }
                if idle >= Millis(wait.0 * SNAPSHOT_RESEND_FACTOR) + transfer_time {
                    progress.pending_snapshot = None;
                }
            }
        }
    }

    /// Returns whether a majority of voters answered recently (check-quorum). A leader without a quorum steps down, so
    /// that callers do not wait on it.
    pub(super) fn has_quorum_contact(&self, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let window = self.settings.quorum_timeout;
        if now.since(state.elected_at) < window {
            return true;
        }
        let membership = self.log.membership();
        let answering = membership.voters.iter().filter(|voter| {
            **voter == self.id
                || state
                    .progress
                    .get(voter)
                    .and_then(|progress| progress.last_answer)
                    .is_some_and(|at| now.since(at) < window)
        });
        answering.count() >= membership.majority()
    }

    /// Sends new entries to all followers that are neither being probed nor receiving a snapshot.
    pub(super) fn replicate(&mut self, now: Timestamp) {
        let last = self.log.last_index();
        let Role::Leader(state) = &self.role else { return };
        let ready: Vec<NodeId> = state
            .progress
            .iter()
            .filter(|(_, progress)| progress.next <= last && !progress.probing && progress.pending_snapshot.is_none())
            .map(|(node, _)| *node)
            .collect();
        for node in ready {
            self.send_append(node, now);
        }
        self.advance_commit();
    }

    /// Sends a heartbeat to each follower, together with entries or a snapshot that it needs.
    fn send_heartbeats(&mut self, now: Timestamp) {
        let Role::Leader(state) = &self.role else { return };
        let last = self.log.last_index();
        let nodes: Vec<(NodeId, bool)> = state
            .progress
            .iter()
            .map(|(node, progress)| {
                let needs_snapshot = self.log.term_at(progress.next.previous()).is_none();
                (*node, needs_snapshot || (progress.next <= last && !progress.probing))
            })
            .collect();
        for (node, is_behind) in nodes {
            let is_sent = self.send_heartbeat_now(node, now);
            if is_behind || !is_sent {
                self.send_append(node, now);
            }
        }
    }

    pub(super) fn broadcast_appends(&mut self, now: Timestamp) {
        let Role::Leader(state) = &self.role else { return };
        let nodes: Vec<NodeId> = state.progress.keys().copied().collect();
        for node in nodes {
            self.send_append(node, now);
        }
    }

    pub(super) fn send_append(&mut self, to: NodeId, now: Timestamp) {
        let Some(progress) = self.progress(to).copied() else { return };
        let previous_index = progress.next.previous();
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.send_snapshot(to, now);
            return;
        };
        // Unresponsive followers are sent only heartbeats.
        let is_unresponsive = progress.last_answer.is_none_or(|at| now.since(at) >= self.unresponsive_timeout());
        let entries = if is_unresponsive || progress.probing {
            Vec::new()
        } else {
            self.log.entries_from(progress.next, self.settings.max_append_bytes)
        };
        let sent_up_to = entries.last().map(|entry| entry.index);
        let commit = self.commit;
        let election_timeout = Some(self.settings.election_timeout);
        let kind =
            MessageKind::Append { previous_index, previous_term, commit, sent_at: now, election_timeout, entries };
        self.send(to, kind);
        if let Role::Leader(state) = &mut self.role
            && let Some(progress) = state.progress.get_mut(&to)
            && let Some(index) = sent_up_to
        {
            progress.next = index.next();
            progress.last_sent = now;
        }
    }

    pub(super) fn send_snapshot(&mut self, to: NodeId, now: Timestamp) {
        let snapshot = self.log.snapshot().clone();
        let index = snapshot.index;
        let Role::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.progress.get_mut(&to) else { return };
        if progress.pending_snapshot.is_some() {
            return;
        }
        progress.pending_snapshot = Some(index);
        progress.last_sent = now;
        self.send(to, MessageKind::InstallSnapshot(snapshot));
    }

    pub(super) fn on_append_answer(
        &mut self,
        from: NodeId,
        accepted: bool,
        index: LogIndex,
        echo: Option<Timestamp>,
        now: Timestamp,
    ) {
        let last = self.log.last_index();
        let Role::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.progress.get_mut(&from) else { return };
        progress.last_acked_send = progress.last_acked_send.max(echo);
        if accepted {
            progress.accepted(index.min(last), now);
        } else {
            progress.rejected(index, now);
        }
        let behind = progress.next <= last && progress.pending_snapshot.is_none();
        if behind {
            self.send_append(from, now);
        }
        self.advance_commit();
        self.send_timeout_now_if_ready();
    }

    /// Advances the commit index to the highest index stored on a majority of voters, but only if that entry is of the
    /// current term (Raft, section 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let membership = self.log.membership();
        let mut match_indexes: Vec<LogIndex> = membership
            .voters
            .iter()
            .map(|voter| {
                if *voter == self.id {
                    self.log.last_index()
                } else {
                    state.progress.get(voter).map_or(LogIndex(0), |progress| progress.matched)
                }
            })
            .collect();
        match_indexes.sort_unstable_by(|left, right| right.cmp(left));
        let Some(majority) = match_indexes.get(membership.majority().saturating_sub(1)).copied() else { return };
        if majority > self.commit && self.log.term_at(majority) == Some(self.hard_state.term) {
            self.commit = majority;
            self.commitless_leaderships = 0;
            self.step_down_if_removed();
        }
    }

    /// Steps down if this leader has committed its own removal.
    pub(super) fn step_down_if_removed(&mut self) {
        let removed = !self.log.membership().voters.contains(&self.id);
        if removed && self.commit >= self.log.membership_index() {
            self.role = Role::Follower { leader: None };
        }
    }

    pub(super) fn send_timeout_now_if_ready(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(state) = &self.role else { return };
        let Some(transfer) = state.transfer else { return };
        let caught_up = state.progress.get(&transfer.target).is_some_and(|progress| progress.matched == last);
        if caught_up {
            self.send(transfer.target, MessageKind::TimeoutNow);
        }
    }
}
