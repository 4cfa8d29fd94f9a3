//! Leading: sending the log, and committing what a majority holds.

use std::collections::BTreeSet;

use super::log::{Entry, EntryPayload, LogIndex};
use super::message::MessageKind;
use super::progress::Progress;
use super::replica::{ProposalError, Replica};
use super::role::Role;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Entries count as lost, and are sent again, after this many heartbeats without an answer. A slow disk isn't sent the
/// same entries twice.
const RESEND_HEARTBEATS: u64 = 3;
/// A snapshot counts as lost after this many times as long as lost entries do, so that one that is on its way isn't
/// sent again.
const SNAPSHOT_RESEND_FACTOR: u64 = 4;
/// The slowest link that a snapshot is expected to cross, in bytes a millisecond; it isn't sent again before it could
/// have arrived over one.
const SNAPSHOT_BYTES_PER_MS: u64 = 1_000;
/// A follower that owes an answer for this many heartbeats is silent and gets no entries until it answers. Saves the
/// bytes to one that is gone.
const SILENT_HEARTBEATS: u64 = 4;

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
        if !self.has_quorum_contact(now) {
            self.become_follower(self.hard_state.term, None, now);
            return;
        }
        let heartbeat = self.settings.heartbeat_interval;
        let Role::Leader(state) = &mut self.role else { return };
        if state.transfer.is_some_and(|transfer| now >= transfer.deadline) {
            // The target may still act on it at any time, so this leader can't go on as if nothing was.
            self.become_follower(self.hard_state.term, None, now);
            return;
        }
        if now.since(state.last_heartbeat) >= heartbeat {
            state.last_heartbeat = now;
            self.resend_lost(now);
            self.broadcast_appends(now);
            self.send_timeout_now_if_ready();
        }
    }

    /// A follower that has not answered for this long is not sent entries.
    fn silence_limit(&self) -> Millis {
        Millis(self.settings.heartbeat_interval.0 * SILENT_HEARTBEATS)
    }

    /// Entries sent a while ago and not yet answered count as lost.
    pub(super) fn resend_lost(&mut self, now: Timestamp) {
        let wait = Millis(self.settings.heartbeat_interval.0 * RESEND_HEARTBEATS);
        let sending = Millis(self.log.snapshot().state.len() as u64 / SNAPSHOT_BYTES_PER_MS);
        if let Role::Leader(state) = &mut self.role {
            for progress in state.progress.values_mut() {
                let idle = now.since(progress.last_sent);
                let awaits_answer = progress.next > progress.matched.next();
                if awaits_answer && idle >= wait && progress.pending_snapshot.is_none() {
                    progress.next = progress.matched.next().max(LogIndex(1));
                    progress.probing = true;
                }
                if idle >= Millis(wait.0 * SNAPSHOT_RESEND_FACTOR) + sending {
                    progress.pending_snapshot = None;
                }
            }
        }
    }

    /// A leader that a majority no longer answers stands down, so that callers are not held by it.
    pub(super) fn has_quorum_contact(&self, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let window = self.settings.election_timeout;
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

    /// Sends new entries to those followers that wait for them.
    pub(super) fn replicate(&mut self, now: Timestamp) {
        let last = self.log.last_index();
        let Role::Leader(state) = &self.role else { return };
        let waiting: Vec<NodeId> = state
            .progress
            .iter()
            .filter(|(_, progress)| progress.next <= last && !progress.probing && progress.pending_snapshot.is_none())
            .map(|(node, _)| *node)
            .collect();
        for node in waiting {
            self.send_append(node, now);
        }
        self.advance_commit();
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
        // A follower that does not answer gets heartbeats only; entries would be sent in vain.
        let is_silent = progress.last_answer.is_none_or(|at| now.since(at) >= self.silence_limit());
        let entries = if is_silent || progress.probing {
            Vec::new()
        } else {
            self.log.entries_from(progress.next, self.settings.max_append_bytes)
        };
        let sent_up_to = entries.last().map(|entry| entry.index);
        let commit = self.commit;
        self.send(to, MessageKind::Append { previous_index, previous_term, commit, sent_at: now, entries });
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
        progress.follows_since = progress.follows_since.max(echo);
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

    /// Commits what a majority of voters holds, but only through an entry of the leader's own term
    /// (Raft, section 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let membership = self.log.membership();
        let mut held: Vec<LogIndex> = membership
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
        held.sort_unstable_by(|left, right| right.cmp(left));
        let Some(majority) = held.get(membership.majority().saturating_sub(1)).copied() else { return };
        if majority > self.commit && self.log.term_at(majority) == Some(self.hard_state.term) {
            self.commit = majority;
            self.stand_down_if_removed();
        }
    }

    /// A leader that has committed its own removal leads no longer.
    pub(super) fn stand_down_if_removed(&mut self) {
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
