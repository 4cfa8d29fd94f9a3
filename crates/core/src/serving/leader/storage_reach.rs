//! Detects that a gateway reaches no storage node, so that submissions are refused at once instead of being tried until
//! they time out.
//!
//! Every call to a storage node counts, including reports of loads and quotas: an answer or a refusal shows that nodes
//! are reachable, a failed connection or a missing answer counts as a failure. One unresponsive node is no sign of a
//! partition, since the search for the leader then turns to another one.

use std::collections::BTreeSet;

use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Time for which every attempt must have failed. Longer than the loss of the leader leaves a gateway without any
/// answer, since the other storage nodes refuse requests then.
const UNREACHABLE_AFTER: Millis = Millis(1_000);
/// Age of the last failure up to which it shows that storage nodes are unreachable.
const FAILURE_LIFETIME: Millis = Millis(2_000);
/// Number of storage nodes that must have failed, unless fewer are known.
const MIN_FAILED_NODES: usize = 2;
/// Maximum number of failed nodes that are remembered. Bounds the memory.
const MAX_FAILED_NODES: usize = 16;
/// Timeout of a probe. Several times the round trip between zones.
pub const PROBE_TIMEOUT: Millis = Millis(100);
/// Time after a failed probe within which submissions are refused without another one.
const PROBE_INTERVAL: Millis = Millis(200);
/// Retry delay for a refused submission. Short, since another gateway may reach storage nodes.
pub const UNREACHABLE_RETRY_AFTER: Millis = Millis(50);

/// What to do with a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionStep {
    /// Send it.
    Send,
    /// Probe a storage node with another request first, and refuse the submission if it does not respond.
    Probe,
    /// Refuse it.
    Refuse,
}

/// Whether this node reaches any storage node.
#[derive(Clone, Debug, Default)]
pub struct StorageReach {
    /// Start of the first failed attempt since the last response.
    failing_since: Option<Timestamp>,
    last_failure_at: Timestamp,
    last_response_at: Timestamp,
    failed_nodes: BTreeSet<NodeId>,
    probed_at: Option<Timestamp>,
}

impl StorageReach {
    /// Records that a storage node answered or refused a request.
    pub fn record_response(&mut self, now: Timestamp) {
        *self = Self { last_response_at: now, ..Self::default() };
    }

    /// Records that an attempt which started at `started_at` failed to connect or got no answer.
    pub fn record_failure(&mut self, node: NodeId, started_at: Timestamp, now: Timestamp) {
        let started_at = started_at.max(self.last_response_at);
        self.failing_since = Some(self.failing_since.map_or(started_at, |since| since.min(started_at)));
        self.last_failure_at = now;
        if self.failed_nodes.len() < MAX_FAILED_NODES {
            self.failed_nodes.insert(node);
        }
    }

    /// Returns whether every attempt within the last second failed. `known_nodes` is the number of known storage nodes.
    pub fn is_unreachable(&self, known_nodes: usize, now: Timestamp) -> bool {
        let is_long = self.failing_since.is_some_and(|since| now.since(since) >= UNREACHABLE_AFTER);
        let is_recent = now.since(self.last_failure_at) < FAILURE_LIFETIME;
        is_long && is_recent && self.failed_nodes.len() >= MIN_FAILED_NODES.min(known_nodes)
    }

    /// Decides on a submission. The caller sends the probe and records its outcome.
    pub fn on_submission(&mut self, known_nodes: usize, now: Timestamp) -> SubmissionStep {
        if !self.is_unreachable(known_nodes, now) {
            return SubmissionStep::Send;
        }
        if self.probed_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL) {
            return SubmissionStep::Refuse;
        }
        self.probed_at = Some(now);
        SubmissionStep::Probe
    }
}
