//! The tries of one request to the job table, until its leader answers or the time is over.

use std::net::SocketAddr;

use crate::identity::NodeId;
use crate::peer_message::GroupRefusal;
use crate::serving::jobs::directory::{StorageDirectory, StorageRecord};
use crate::serving::jobs::request::{JobsAnswer, JobsRequest};
use crate::time::{Millis, Timestamp};

/// Longest wait for one node's answer, in milliseconds, beyond what the request itself asks to wait: a silent node
/// costs a request no more than this before the next one is tried.
const TRY_TIMEOUT: Millis = Millis(900);
/// The wait after a node that knows no leader, in milliseconds: a group that elects one isn't asked without rest.
const NO_LEADER_WAIT: Millis = Millis(60);
/// The wait after a connection that failed, in milliseconds: a machine that refuses connections isn't asked without
/// rest.
const LINK_FAILURE_WAIT: Millis = Millis(10);

/// Redirects that a search follows without a wait: nodes whose word is old could send it to each other without end.
const REDIRECTS_AT_ONCE: u32 = 4;

/// Nobody answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoLeader {
    /// The request may have reached a leader all the same.
    pub may_have_arrived: bool,
}

/// The node to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTarget {
    /// The node.
    pub node: NodeId,
    /// Its address.
    pub address: SocketAddr,
}

/// The next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask a node.
    Send {
        /// Which.
        target: LeaderTarget,
        /// How long its answer is waited for.
        timeout: Millis,
    },
    /// No storing node is known: wait.
    Wait(Millis),
    /// The time is over.
    TimedOut(NoLeader),
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// The node answered.
    Answered(JobsAnswer),
    /// The node refused.
    Refused(GroupRefusal),
    /// The request was not sent.
    NotSent,
    /// The request may have arrived; there is no answer.
    NoAnswer,
}

/// What follows from a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchDecision {
    /// The leader answered. It is the node that was asked.
    Done(JobsAnswer),
    /// Try again.
    Retry {
        /// Who leads, as far as the try showed.
        leader: Option<NodeId>,
        /// The wait before the next try.
        wait: Millis,
    },
}

/// The search of one request for the leader.
///
/// Invariant: a refusal says that nothing was taken by the try that it answers, and by no earlier one. So once a try
/// may have reached a leader, an answer that says so becomes [`JobsAnswer::Indeterminate`].
#[derive(Clone, Copy, Debug)]
pub struct LeaderSearch {
    until: Timestamp,
    /// What the request itself asks to wait.
    hold: Millis,
    /// Tries so far, and those of earlier searches whose round this one goes on with.
    tries: usize,
    redirects: u32,
    may_have_arrived: bool,
}

impl LeaderSearch {
    /// A search that is given up at `until`.
    pub fn new(request: &JobsRequest, until: Timestamp) -> Self {
        let hold = match request {
            JobsRequest::Read { wait, .. } => *wait,
            _ => Millis(0),
        };
        Self { until, hold, tries: 0, redirects: 0, may_have_arrived: false }
    }

    /// The same search, where earlier ones made so many tries. Where there are many storing nodes, a short search would
    /// never get beyond the first of them.
    pub fn with_previous_tries(self, tries: usize) -> Self {
        Self { tries, ..self }
    }

    /// Tries so far, those of earlier searches included.
    pub fn tries(&self) -> usize {
        self.tries
    }

    /// The next step. `leader` is who led last, as far as this node knows.
    pub fn next(
        &mut self,
        leader: Option<NodeId>,
        storage: &StorageDirectory,
        zone: &str,
        now: Timestamp,
    ) -> SearchStep {
        let left = self.until.since(now);
        if left == Millis(0) {
            return SearchStep::TimedOut(NoLeader { may_have_arrived: self.may_have_arrived });
        }
        let target = self.target(leader, storage, zone);
        self.tries += 1;
        match target {
            Some(target) => SearchStep::Send { target, timeout: (TRY_TIMEOUT + self.hold).min(left) },
            None => SearchStep::Wait(NO_LEADER_WAIT),
        }
    }

    /// The leader if it is known, else a founder of the group and another storing node by turns, those of the zone first.
    /// Members know who leads, and where there are many storing nodes, few are members.
    fn target(&self, leader: Option<NodeId>, storage: &StorageDirectory, zone: &str) -> Option<LeaderTarget> {
        let known = leader.and_then(|leader| storage.of_node(leader));
        let record = known.or_else(|| {
            let (founders, others): (Vec<_>, Vec<_>) =
                in_order(storage, zone).into_iter().partition(|record| storage.is_founder(record.node));
            let (turn, is_founders_turn) = (self.tries / 2, self.tries.is_multiple_of(2));
            match (founders.is_empty(), others.is_empty()) {
                (false, false) if is_founders_turn => nth_in_turn(&founders, turn),
                (false, false) => nth_in_turn(&others, turn),
                (true, _) => nth_in_turn(&others, self.tries),
                (false, true) => nth_in_turn(&founders, self.tries),
            }
        })?;
        Some(LeaderTarget { node: record.node, address: record.address })
    }

    /// Takes the outcome of a try at a node.
    pub fn tried(&mut self, node: NodeId, outcome: TryOutcome) -> SearchDecision {
        match outcome {
            TryOutcome::Answered(JobsAnswer::Indeterminate) => {
                self.may_have_arrived = true;
                SearchDecision::Retry { leader: None, wait: NO_LEADER_WAIT }
            }
            TryOutcome::Answered(answer) => {
                let is_unsure = self.may_have_arrived && answer.is_rejection();
                SearchDecision::Done(if is_unsure { JobsAnswer::Indeterminate } else { answer })
            }
            TryOutcome::Refused(GroupRefusal::NotLeader { leader: Some(leader), .. }) if leader != node => {
                self.redirects += 1;
                let wait = if self.redirects > REDIRECTS_AT_ONCE { NO_LEADER_WAIT } else { Millis(0) };
                SearchDecision::Retry { leader: Some(leader), wait }
            }
            TryOutcome::Refused(_) => SearchDecision::Retry { leader: None, wait: NO_LEADER_WAIT },
            TryOutcome::NotSent => SearchDecision::Retry { leader: None, wait: LINK_FAILURE_WAIT },
            TryOutcome::NoAnswer => {
                self.may_have_arrived = true;
                SearchDecision::Retry { leader: None, wait: LINK_FAILURE_WAIT }
            }
        }
    }
}

/// All storing nodes, those of a zone first.
fn in_order<'a>(storage: &'a StorageDirectory, zone: &str) -> Vec<&'a StorageRecord> {
    let mut records: Vec<_> = storage.records().collect();
    records.sort_by_key(|record| &*record.zone != zone);
    records
}

fn nth_in_turn<'a>(records: &[&'a StorageRecord], turn: usize) -> Option<&'a StorageRecord> {
    records.get(turn % records.len().max(1)).copied()
}

/// Whether an answer is of the kind that an exchange of loads or limits asks for. One that is not counts as none: the
/// exchange's fallback is the same, and the next one may go to another node. What the answer to any other request means
/// is for whoever made it.
pub fn is_expected(request: &JobsRequest, answer: &JobsAnswer) -> bool {
    match request {
        JobsRequest::ReportLoad(_) | JobsRequest::AggregateLoad(_) => matches!(answer, JobsAnswer::Loads(_)),
        JobsRequest::ReportQuota(_) => matches!(answer, JobsAnswer::Quota(_)),
        JobsRequest::RequestPermits(_) => matches!(answer, JobsAnswer::Permits(_)),
        _ => true,
    }
}
