//! Admission of jobs at one replica of the job table.

use std::collections::BTreeSet;
use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::replication::{GroupMembership, PersistedReplica, ReplicaSettings};
use stallmoor_core::serving::jobs::command::{JobItem, JobKey, Submission};
use stallmoor_core::serving::jobs::node::{JobsChange, JobsEffect, JobsNode, NotProposed, Waiter};
use stallmoor_core::serving::jobs::request::JobsAnswer;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const SELF: NodeId = NodeId(1);
/// Tokens that may wait on the route: room for one job of the tests and no second.
const LIMIT: u64 = 150;

/// A replica that is the only voter, with effects that are carried out when the test says so.
struct Harness {
    node: JobsNode,
    now: Timestamp,
    effects: Vec<JobsEffect>,
}

impl Harness {
    /// A leader that may answer.
    fn leading() -> Self {
        let now = Timestamp::from_millis(100_000);
        let settings = ReplicaSettings::default();
        let mut node = JobsNode::new(SELF, settings, PersistedReplica::default(), now, 7).expect("an empty disk");
        let effects = node.found(GroupMembership::of_voters(BTreeSet::from([SELF])), now);
        let mut harness = Self { node, now, effects };
        while !harness.node.may_answer(harness.now) {
            harness.now = harness.now + Millis(20);
            let effects = harness.node.tick(harness.now);
            harness.effects.extend(effects);
            harness.carry_out();
        }
        harness
    }

    fn carry_out(&mut self) -> Vec<JobsChange> {
        let mut changes = Vec::new();
        for effect in std::mem::take(&mut self.effects) {
            if let JobsEffect::ApplyUpTo(index) = effect {
                changes.extend(self.node.apply_up_to(index, self.now));
            }
        }
        changes
    }

    fn submit(&mut self, name: &str, waiter: u64) -> Result<(), NotProposed> {
        let effects = self.node.submit(submission(name), Waiter(waiter), self.now)?;
        self.effects.extend(effects);
        Ok(())
    }
}

fn submission(name: &str) -> Submission {
    let item = JobItem {
        id: Arc::from(format!("{name}-0")),
        path: Arc::from("/batch/x"),
        headers: Vec::new(),
        body: Arc::from([0; 10]),
        token_count: 100,
    };
    Submission {
        key: JobKey(Arc::from(name)),
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: vec![item],
        configuration_version: 1,
        received_at: UnixMillis(0),
        due: Millis(1_000),
        queued_token_limit: Some(LIMIT),
    }
}

#[test]
fn a_job_submitted_again_while_its_proposal_is_under_way_is_not_refused() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("it fits");
    harness.submit("a", 2).expect("it is the same job, which will be taken");
    assert!(harness.node.may_hold(&JobKey(Arc::from("a"))));
    let answers: Vec<JobsAnswer> = harness
        .carry_out()
        .into_iter()
        .filter_map(|change| match change {
            JobsChange::Answer { answer, .. } => Some(answer),
            _ => None,
        })
        .collect();
    assert_eq!(answers, [JobsAnswer::Accepted, JobsAnswer::Accepted]);
}

#[test]
fn a_job_submitted_twice_counts_once_and_another_is_refused() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("it fits");
    harness.submit("a", 2).expect("it is the same job");
    assert_eq!(harness.submit("b", 3), Err(NotProposed::OverQuota { waiting: 100 }));
    harness.carry_out();
    assert_eq!(harness.submit("b", 4), Err(NotProposed::OverQuota { waiting: 100 }), "also once it is in the table");
    harness.submit("a", 5).expect("it is in the table");
}
