//! Client for requests to replica groups, which may be hosted by other nodes.
//!
//! A request is retried until it is answered or its deadline passes. It is sent to the leader if known,
//! otherwise to the members in round-robin order. Retries are safe because all commands are idempotent.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::machine::Node;
use crate::backoff::Backoff;
use crate::identity::{CallerId, GroupId, JobId, NodeId};
use crate::node::partition::{Command, CommandOutcome, Query, QueryAnswer, RequestKey, SessionKey};
use crate::peer_message::{GroupAnswer, GroupAnswerBody, GroupRefusal, GroupRequest, GroupRequestBody, PeerMessage};
use crate::time::{Millis, Timestamp};

/// Maximum wait for an answer before a request is retried. The actual wait is at least half of it.
const MAX_RETRY_INTERVAL: Millis = Millis(800);
/// Backoff before a refused request is retried.
const REFUSAL_BACKOFF: Backoff = Backoff::new(Millis(10), Millis(400));
/// Maximum number of pending requests.
const MAX_PENDING_REQUESTS: usize = 16_384;

/// Determines how the reply to a request is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A step of a job upload.
    Upload(CallerId),
    /// Return a job's status to a caller.
    JobStatus(CallerId, JobId),
    /// Return a tenant's jobs in one group to a caller.
    JobList(CallerId),
    /// Return a job's results to a caller.
    JobResults(CallerId),
    /// Accept an uploaded job for a caller, then read its status.
    AcceptJob(CallerId, JobId),
    /// Cancel a job for a caller, then read its status.
    CancelJob(CallerId, JobId),
    /// Mark a caller's non-repeatable request.
    Mark(CallerId),
    /// Settle a mark. The reply is ignored.
    Settle(RequestKey),
    /// Look up the session of a caller's request.
    FindSession(CallerId),
    /// Store a session's new record. No caller waits for the reply.
    PlaceSession(SessionKey),
    /// Record the results of batch items.
    RecordResults(JobId, Vec<u32>),
    /// Remove expired state. The reply is ignored.
    Forget,
}

/// The final result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum GroupReply {
    /// The outcome of the command.
    Outcome(CommandOutcome),
    /// The answer to the query.
    Answer(QueryAnswer),
    /// No answer arrived before the deadline. A command may have taken effect.
    TimedOut,
}

struct Pending {
    group: GroupId,
    body: GroupRequestBody,
    purpose: Purpose,
    deadline: Timestamp,
    next_try: Timestamp,
    tries: u32,
    refusals: u32,
    target: Option<NodeId>,
}

/// Requests that await an answer.
pub(super) struct GroupClient {
    next_id: u64,
    pending: BTreeMap<u64, Pending>,
    random: Xoshiro256PlusPlus,
}

impl GroupClient {
    pub(super) fn new(seed: u64) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        // A random start keeps a restarted node from accepting answers to requests of its previous run.
        let next_id = random.random::<u64>() >> 1;
        Self { next_id, pending: BTreeMap::new(), random }
    }

    /// Drops the pending requests of a disconnected caller. Commands already sent may still take effect.
    pub(super) fn forget_caller(&mut self, caller: CallerId) {
        self.pending.retain(|_, pending| match &pending.purpose {
            Purpose::Upload(owner)
            | Purpose::JobStatus(owner, _)
            | Purpose::JobList(owner)
            | Purpose::JobResults(owner)
            | Purpose::AcceptJob(owner, _)
            | Purpose::CancelJob(owner, _)
            | Purpose::Mark(owner)
            | Purpose::FindSession(owner) => *owner != caller,
            _ => true,
        });
    }

    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns a random wait between half of `span` and all of it.
    fn jitter(&mut self, span: Millis) -> Millis {
        Millis(span.0 / 2 + self.random.random_range(0..=span.0 / 2))
    }
}

impl Node {
    /// Sends a command to a group and retries it until `timeout`.
    pub(super) fn command(&mut self, group: GroupId, command: Command, purpose: Purpose, timeout: Millis) {
        self.request(group, GroupRequestBody::Command(command), purpose, timeout);
    }

    /// Sends a query to a group and retries it until `timeout`.
    pub(super) fn query(&mut self, group: GroupId, query: Query, purpose: Purpose, timeout: Millis) {
        self.request(group, GroupRequestBody::Query(query), purpose, timeout);
    }

    fn request(&mut self, group: GroupId, body: GroupRequestBody, purpose: Purpose, timeout: Millis) {
        if self.client.pending.len() >= MAX_PENDING_REQUESTS {
            self.on_reply(purpose, GroupReply::TimedOut);
            return;
        }
        let now = self.clock.now;
        let id = self.client.next_id;
        self.client.next_id += 1;
        let pending = Pending {
            group,
            body,
            purpose,
            deadline: now + timeout,
            next_try: now,
            tries: 0,
            refusals: 0,
            target: None,
        };
        self.client.pending.insert(id, pending);
        self.try_request(id);
    }

    fn try_request(&mut self, id: u64) {
        let now = self.clock.now;
        let wait = self.client.jitter(MAX_RETRY_INTERVAL);
        let Some(pending) = self.client.pending.get_mut(&id) else { return };
        let target = choose_target(self.directory.get(pending.group), pending.tries);
        pending.tries += 1;
        pending.next_try = now + wait;
        pending.target = target;
        let Some(target) = target else { return };
        let request = GroupRequest { id, from: self.settings.id, group: pending.group, body: pending.body.clone() };
        self.send(target, PeerMessage::GroupRequest(request));
    }

    pub(super) fn tick_client(&mut self) {
        let now = self.clock.now;
        let due = |pending: &Pending| now >= pending.deadline || now >= pending.next_try;
        let ids: Vec<u64> = self.client.pending.iter().filter(|(_, pending)| due(pending)).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(pending) = self.client.pending.get(&id) else { continue };
            if now >= pending.deadline {
                if let Some(pending) = self.client.pending.remove(&id) {
                    self.on_reply(pending.purpose, GroupReply::TimedOut);
                }
                continue;
            }
            if let Some(unresponsive) = pending.target {
                let group = pending.group;
                self.directory.clear_leader(group, unresponsive);
            }
            self.try_request(id);
        }
    }

    pub(super) fn on_group_answer(&mut self, answer: GroupAnswer) {
        match answer.result {
            Ok(body) => {
                let Some(pending) = self.client.pending.remove(&answer.id) else { return };
                let reply = match body {
                    GroupAnswerBody::Outcome(outcome) => GroupReply::Outcome(outcome),
                    GroupAnswerBody::Answer(answer) => GroupReply::Answer(answer),
                    // This node never requests pass-through jobs or changes, so the answer cannot be matched.
                    GroupAnswerBody::Jobs(_)
                    | GroupAnswerBody::Changes(_)
                    | GroupAnswerBody::Contents(_)
                    | GroupAnswerBody::Origins(_) => GroupReply::TimedOut,
                };
                self.on_reply(pending.purpose, reply);
            }
            Err(refusal) => self.on_group_refusal(answer.id, refusal),
        }
    }

    fn on_group_refusal(&mut self, id: u64, refusal: GroupRefusal) {
        let now = self.clock.now;
        let Some(pending) = self.client.pending.get_mut(&id) else { return };
        pending.refusals += 1;
        let span = REFUSAL_BACKOFF.wait(pending.refusals);
        let (group, target) = (pending.group, pending.target);
        if let Some(target) = target {
            pending.target = None;
            self.directory.clear_leader(group, target);
        }
        if let GroupRefusal::NotLeader { term, leader: Some(leader) } = refusal {
            self.directory.update_leader(group, leader, term);
        }
        let wait = self.client.jitter(span);
        if let Some(pending) = self.client.pending.get_mut(&id) {
            pending.next_try = now + wait;
        }
    }

    fn on_reply(&mut self, purpose: Purpose, reply: GroupReply) {
        match purpose {
            Purpose::Upload(caller) => self.on_upload_reply(caller, reply),
            Purpose::JobStatus(caller, job) => self.on_job_status(caller, job, reply),
            Purpose::JobList(caller) => self.on_job_list(caller, reply),
            Purpose::JobResults(caller) => self.on_job_results(caller, reply),
            Purpose::AcceptJob(caller, job) => self.on_job_accepted(caller, job, reply),
            Purpose::CancelJob(caller, job) => self.on_job_cancelled(caller, job, reply),
            Purpose::Mark(caller) => self.on_marked(caller, reply),
            Purpose::FindSession(caller) => self.on_session_found(caller, reply),
            Purpose::PlaceSession(session) => self.on_session_placed(session, reply),
            Purpose::RecordResults(job, items) => self.on_results_recorded(job, &items, reply),
            Purpose::Settle(_) | Purpose::Forget => {}
        }
    }
}

/// Returns the leader if known, otherwise the next member in round-robin order.
fn choose_target(entry: Option<&crate::node::control::DirectoryEntry>, tries: u32) -> Option<NodeId> {
    let entry = entry?;
    if let Some(leader) = entry.leader {
        return Some(leader);
    }
    let count = entry.members.len();
    if count == 0 {
        return None;
    }
    Some(entry.members[tries as usize % count])
}
