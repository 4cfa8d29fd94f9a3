//! Delivers a request to the leader of the job table, trying nodes until the leader answers or the request times out.

use std::net::SocketAddr;

use crate::identity::NodeId;
use crate::peer_message::GroupRefusal;
use crate::serving::jobs::directory::{StorageDirectory, StorageRecord};
use crate::serving::jobs::request::{JobsAnswer, JobsRequest};
use crate::time::{Millis, Timestamp};

/// Timeout for one node's answer, in addition to the wait that the request itself specifies. Bounds what a silent node
/// costs a request before the next one is tried.
const ATTEMPT_TIMEOUT: Millis = Millis(900);
/// Timeout for the first answer to a submission. Doubles with each missing answer, up to [`ATTEMPT_TIMEOUT`]. Short,
/// because a submission can be repeated safely and the time until the caller has its answer counts.
const SUBMISSION_ATTEMPT_TIMEOUT: Millis = Millis(300);
/// Timeout for one node's answer to a request for permits. Shorter than the lifetime of a permit, so that the request
/// reaches another node if one is silent.
const PERMIT_ATTEMPT_TIMEOUT: Millis = Millis(150);
/// Time for which submissions are not sent to a node that left one unanswered, although other nodes may still name it as
/// the leader. Covers the rest of an election.
const UNRESPONSIVE_PERIOD: Millis = Millis(300);
/// Delay after trying a node that knows no leader, for example during an election. Keeps a group that elects a leader
/// from being asked without pause.
const NO_LEADER_WAIT: Millis = Millis(60);
/// Delay after a failed connection, to avoid a busy loop when a machine refuses connections.
const CONNECTION_FAILURE_WAIT: Millis = Millis(10);

/// Maximum number of times that the timeout of a submission doubles; prevents an overflow.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// Maximum number of redirects followed without a delay, since nodes with outdated state may redirect to each other.
const MAX_IMMEDIATE_REDIRECTS: u32 = 4;

/// No leader answered before the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoLeader {
    /// Whether the request may still have reached a leader.
    pub may_have_arrived: bool,
}

/// The node to send the request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTarget {
    /// The node's identity.
    pub node: NodeId,
    /// The node's address for peers.
    pub address: SocketAddr,
}

/// The next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Send the request to a node.
    Send {
        /// The node to send it to.
        target: LeaderTarget,
        /// Timeout for the answer.
        timeout: Millis,
    },
    /// Wait, then call [`LeaderSearch::next`] again. No storage node is known.
    Wait(Millis),
    /// Stop, since the request timed out.
    TimedOut(NoLeader),
}

/// The outcome of sending the request to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// The node answered.
    Answered(JobsAnswer),
    /// The node did not accept the request, for example because it is not the leader.
    Refused(GroupRefusal),
    /// The request was not sent.
    NotSent,
    /// The request may have arrived, but there was no answer.
    NoAnswer,
}

/// The decision after sending the request to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchDecision {
    /// Return the answer; the node that gave it is the leader.
    Done(JobsAnswer),
    /// Try another node.
    Retry {
        /// The leader, if the node named one.
        leader: Option<NodeId>,
        /// Delay before the next attempt.
        wait: Millis,
    },
}

/// A node that left a submission unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnresponsiveNode {
    /// The node.
    pub node: NodeId,
    /// The time until which submissions are sent to other nodes.
    pub until: Timestamp,
}

/// The search for the leader on behalf of one request.
///
/// Invariant: a rejection only shows that the attempt that it answers had no effect. If an earlier attempt may have
/// reached a leader, a rejection is therefore returned as [`JobsAnswer::Indeterminate`].
#[derive(Clone, Copy, Debug)]
pub struct LeaderSearch {
    until: Timestamp,
    /// Timeout for one node's answer; that of submissions is computed.
    attempt_timeout: Millis,
    is_submission: bool,
    /// The node that left the latest submission unanswered.
    unresponsive: Option<UnresponsiveNode>,
    /// Number of attempts without an answer.
    missing_answers: u32,
    /// Number of attempts, including those of earlier searches. Determines the next node to try.
    tries: usize,
    redirects: u32,
    may_have_arrived: bool,
}

impl LeaderSearch {
    /// Creates a search that times out at `until`.
    pub fn new(request: &JobsRequest, until: Timestamp) -> Self {
        let attempt_timeout = match request {
            JobsRequest::Read { wait, .. } => ATTEMPT_TIMEOUT + *wait,
            JobsRequest::RequestPermits(_) => PERMIT_ATTEMPT_TIMEOUT,
            _ => ATTEMPT_TIMEOUT,
        };
        Self {
            until,
            attempt_timeout,
            is_submission: matches!(request, JobsRequest::Submit(_)),
            unresponsive: None,
            missing_answers: 0,
            tries: 0,
            redirects: 0,
            may_have_arrived: false,
        }
    }

    /// Starts at the position in the node order that follows the given number of attempts of earlier searches.
    /// Otherwise short searches would only ever reach the first few storage nodes.
    pub fn with_previous_tries(self, tries: usize) -> Self {
        Self { tries, ..self }
    }

    /// Avoids a node that left an earlier submission unanswered.
    pub fn with_unresponsive(self, unresponsive: Option<UnresponsiveNode>) -> Self {
        let unresponsive = unresponsive.filter(|_| self.is_submission);
        Self { unresponsive, ..self }
    }

    /// Returns the node that left the latest submission unanswered, for later searches.
    pub fn unresponsive(&self) -> Option<UnresponsiveNode> {
        self.unresponsive
    }

    /// Returns whether an attempt may have reached a leader.
    pub fn may_have_arrived(&self) -> bool {
        self.may_have_arrived
    }

    /// Returns the number of attempts so far, including those of earlier searches.
    pub fn tries(&self) -> usize {
        self.tries
    }

    /// Returns the next step. `leader` is the last known leader.
    pub fn next(
        &mut self,
        leader: Option<NodeId>,
        storage: &StorageDirectory,
        zone: &str,
        now: Timestamp,
    ) -> SearchStep {
        let remaining = self.until.since(now);
        if remaining == Millis(0) {
            return SearchStep::TimedOut(NoLeader { may_have_arrived: self.may_have_arrived });
        }
        let target = self.target(leader, storage, zone, now);
        self.tries += 1;
        match target {
            Some(target) => SearchStep::Send { target, timeout: self.attempt_timeout().min(remaining) },
            None => SearchStep::Wait(NO_LEADER_WAIT),
        }
    }

    fn attempt_timeout(&self) -> Millis {
        if self.is_submission {
            let doublings = self.missing_answers.min(MAX_TIMEOUT_DOUBLINGS);
            return Millis(SUBMISSION_ATTEMPT_TIMEOUT.0 << doublings).min(ATTEMPT_TIMEOUT);
        }
        self.attempt_timeout
    }

    fn is_avoided(&self, node: NodeId, now: Timestamp) -> bool {
        self.unresponsive.is_some_and(|unresponsive| unresponsive.node == node && now < unresponsive.until)
    }

    /// Returns the leader if it is known. Otherwise alternates between founders of the group and other storage nodes,
    /// with nodes of the zone first. Group members know the leader, and most of them are founders.
    fn target(
        &self,
        leader: Option<NodeId>,
        storage: &StorageDirectory,
        zone: &str,
        now: Timestamp,
    ) -> Option<LeaderTarget> {
        let known = leader.filter(|leader| !self.is_avoided(*leader, now)).and_then(|leader| storage.of_node(leader));
        let record = known.or_else(|| {
            let mut records = local_zone_first(storage, zone);
            if records.len() > 1 {
                records.retain(|record| !self.is_avoided(record.node, now));
            }
            let (founders, others): (Vec<_>, Vec<_>) =
                records.into_iter().partition(|record| storage.is_founder(record.node));
            let (round, is_founders_round) = (self.tries / 2, self.tries.is_multiple_of(2));
            match (founders.is_empty(), others.is_empty()) {
                (false, false) if is_founders_round => nth_cyclic(&founders, round),
                (false, false) => nth_cyclic(&others, round),
                (true, _) => nth_cyclic(&others, self.tries),
                (false, true) => nth_cyclic(&founders, self.tries),
            }
        })?;
        Some(LeaderTarget { node: record.node, address: record.address })
    }

    /// Records the outcome of sending the request to a node.
    pub fn record_outcome(&mut self, node: NodeId, outcome: TryOutcome, now: Timestamp) -> SearchDecision {
        match outcome {
            TryOutcome::Refused(GroupRefusal::NotLeader { leader: Some(leader), .. })
                if self.is_avoided(leader, now) =>
            {
                SearchDecision::Retry { leader: None, wait: NO_LEADER_WAIT }
            }
            TryOutcome::Answered(JobsAnswer::Indeterminate) => {
                self.may_have_arrived = true;
                SearchDecision::Retry { leader: None, wait: NO_LEADER_WAIT }
            }
            TryOutcome::Answered(answer) => {
                let is_uncertain = self.may_have_arrived && answer.is_rejection();
                SearchDecision::Done(if is_uncertain { JobsAnswer::Indeterminate } else { answer })
            }
            TryOutcome::Refused(GroupRefusal::NotLeader { leader: Some(leader), .. }) if leader != node => {
                self.redirects += 1;
                let wait = if self.redirects > MAX_IMMEDIATE_REDIRECTS { NO_LEADER_WAIT } else { Millis(0) };
                SearchDecision::Retry { leader: Some(leader), wait }
            }
            TryOutcome::Refused(_) => SearchDecision::Retry { leader: None, wait: NO_LEADER_WAIT },
            TryOutcome::NotSent => SearchDecision::Retry { leader: None, wait: CONNECTION_FAILURE_WAIT },
            TryOutcome::NoAnswer => {
                self.may_have_arrived = true;
                self.missing_answers += 1;
                if self.is_submission {
                    self.unresponsive = Some(UnresponsiveNode { node, until: now + UNRESPONSIVE_PERIOD });
                }
                SearchDecision::Retry { leader: None, wait: CONNECTION_FAILURE_WAIT }
            }
        }
    }
}

/// Returns all storage nodes, with those of the given zone first.
fn local_zone_first<'a>(storage: &'a StorageDirectory, zone: &str) -> Vec<&'a StorageRecord> {
    let mut records: Vec<_> = storage.records().collect();
    records.sort_by_key(|record| &*record.zone != zone);
    records
}

fn nth_cyclic<'a>(records: &[&'a StorageRecord], round: usize) -> Option<&'a StorageRecord> {
    records.get(round % records.len().max(1)).copied()
}

/// Returns whether the answer has the type that a load, quota or permit request expects; other requests accept any. An
/// unexpected answer is handled like a missing one.
pub fn is_expected(request: &JobsRequest, answer: &JobsAnswer) -> bool {
    match request {
        JobsRequest::ReportLoad(_) | JobsRequest::AggregateLoad(_) => matches!(answer, JobsAnswer::Loads(_)),
        JobsRequest::ReportQuota(_) => matches!(answer, JobsAnswer::Quota(_)),
        JobsRequest::RequestPermits(_) => matches!(answer, JobsAnswer::Permits(_)),
        JobsRequest::ReportOutcomes(_) => matches!(answer, JobsAnswer::Outcomes(_)),
        _ => true,
    }
}
