//! Handles requests to the groups that this node hosts.
//!
//! Tracks the proposed commands that await an answer; `groups` applies committed entries.

use super::machine::Node;
use crate::identity::{GroupId, NodeId};
use crate::node::partition::CommandOutcome;
use crate::peer_message::{GroupAnswer, GroupAnswerBody, GroupRefusal, GroupRequest, GroupRequestBody, PeerMessage};
use crate::replication::{ProposalError, Replica, Term};
use crate::time::Timestamp;

/// A proposed command whose requester has not been answered yet.
pub(super) struct PendingCommand {
    pub(super) term: Term,
    request: u64,
    from: NodeId,
    pub(super) applied: Option<(Timestamp, CommandOutcome)>,
}

impl Node {
    pub(super) fn on_group_request(&mut self, request: GroupRequest) {
        let now = self.clock.now;
        let Some(hosted) = self.groups.hosted.get_mut(&request.group) else {
            let leader = self.directory.get(request.group).and_then(|entry| entry.leader);
            let refusal = GroupRefusal::NotLeader { term: Term(0), leader };
            self.answer_group_request(request.from, request.id, request.group, Err(refusal));
            return;
        };
        match request.body {
            // Groups of this node store no pass-through jobs, and the node maintains no metadata view.
            GroupRequestBody::Jobs(_)
            | GroupRequestBody::Changes(_)
            | GroupRequestBody::Follow(_)
            | GroupRequestBody::Origins(_) => {
                let result = Err(GroupRefusal::Busy);
                self.answer_group_request(request.from, request.id, request.group, result);
            }
            GroupRequestBody::Query(query) => {
                let result = if hosted.replica.may_answer_reads(now) {
                    Ok(GroupAnswerBody::Answer(hosted.state.query(&query)))
                } else {
                    Err(refusal_for(&hosted.replica))
                };
                self.answer_group_request(request.from, request.id, request.group, result);
            }
            GroupRequestBody::Command(command) => {
                let term = hosted.replica.term();
                match hosted.replica.propose(command.encode(), now) {
                    Ok(index) => {
                        let pending = PendingCommand { term, request: request.id, from: request.from, applied: None };
                        hosted.pending.insert(index, pending);
                    }
                    Err(ProposalError::NotLeader(_)) => {
                        let refusal = refusal_for(&hosted.replica);
                        self.answer_group_request(request.from, request.id, request.group, Err(refusal));
                    }
                    Err(ProposalError::Busy) => {
                        let result = Err(GroupRefusal::Busy);
                        self.answer_group_request(request.from, request.id, request.group, result);
                    }
                }
                self.settle_group(request.group);
            }
        }
    }

    fn answer_group_request(
        &mut self,
        to: NodeId,
        id: u64,
        group: GroupId,
        result: Result<GroupAnswerBody, GroupRefusal>,
    ) {
        self.send(to, PeerMessage::GroupAnswer(GroupAnswer { id, group, result }));
    }

    /// Refuses all pending commands after the loss of leadership, naming the new leader if known.
    pub(super) fn reject_pending_commands(&mut self, group: GroupId) {
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let refusal = refusal_for(&hosted.replica);
        let pending = std::mem::take(&mut hosted.pending);
        for pending in pending.into_values() {
            self.answer_group_request(pending.from, pending.request, group, Err(refusal));
        }
    }

    /// Answers applied commands once all responsive voters store the entry, or after `full_ack_timeout`.
    pub(super) fn answer_pending_commands(&mut self, group: GroupId) {
        let now = self.clock.now;
        let wait = self.settings.replication.full_ack_timeout;
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let mut ready = Vec::new();
        for (index, pending) in &hosted.pending {
            let Some((applied_at, _)) = &pending.applied else { break };
            let waited = now.since(*applied_at) >= wait;
            if !waited && !hosted.replica.is_on_all_responsive_voters(*index, now) {
                break;
            }
            ready.push(*index);
        }
        let answered: Vec<PendingCommand> = ready.iter().filter_map(|index| hosted.pending.remove(index)).collect();
        for pending in answered {
            if let Some((_, outcome)) = pending.applied {
                let result = Ok(GroupAnswerBody::Outcome(outcome));
                self.answer_group_request(pending.from, pending.request, group, result);
            }
        }
    }
}

fn refusal_for(replica: &Replica) -> GroupRefusal {
    if replica.is_leader() {
        return GroupRefusal::Busy;
    }
    GroupRefusal::NotLeader { term: replica.term(), leader: replica.leader() }
}
