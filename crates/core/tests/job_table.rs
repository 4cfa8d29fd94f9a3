//! Checks the job table against a map under any order and repetition of opening, filling, accepting, completing and
//! cancelling jobs, with the state encoded and decoded in between.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use stallmoor_core::identity::{AttemptId, EngineName, GroupId, JobId};
use stallmoor_core::node::partition::{
    Command, CommandOutcome, CompletedItem, ItemResult, ItemVerdict, JobPhase, JobSpecification, NewItem,
    PartitionState, Query, QueryAnswer,
};
use stallmoor_core::time::UnixMillis;

const JOBS: u64 = 3;
const ITEMS: u32 = 5;

#[derive(Clone, Debug)]
enum Step {
    Open { job: u64, digest: u64 },
    Add { job: u64, first: u32, count: u32 },
    Accept { job: u64 },
    Complete { job: u64, item: u32, attempt: u128 },
    Cancel { job: u64 },
    Reload,
}

/// The expected state of a job.
#[derive(Clone, Debug, Default)]
struct ModelJob {
    digest: u64,
    received: u32,
    accepted: bool,
    cancelled: bool,
    results: BTreeMap<u32, u128>,
}

impl ModelJob {
    fn is_complete(&self) -> bool {
        self.accepted && self.results.len() as u32 == ITEMS
    }
}

/// The expected state of all jobs.
#[derive(Clone, Debug, Default)]
struct Model {
    jobs: BTreeMap<u64, ModelJob>,
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_state: &Model) -> BoxedStrategy<Step> {
        let job = 0..JOBS;
        prop_oneof![
            3 => (job.clone(), 0..2_u64).prop_map(|(job, digest)| Step::Open { job, digest }),
            5 => (job.clone(), 0..ITEMS, 1..=ITEMS).prop_map(|(job, first, count)| Step::Add { job, first, count }),
            3 => job.clone().prop_map(|job| Step::Accept { job }),
            8 => (job.clone(), 0..ITEMS, any::<u128>())
                .prop_map(|(job, item, attempt)| Step::Complete { job, item, attempt }),
            1 => job.prop_map(|job| Step::Cancel { job }),
            1 => Just(Step::Reload),
        ]
        .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        match step {
            Step::Open { job, digest } => {
                state.jobs.entry(*job).or_insert_with(|| ModelJob { digest: *digest, ..ModelJob::default() });
            }
            Step::Add { job, first, count } => {
                if let Some(job) = state.jobs.get_mut(job)
                    && !job.accepted
                    && !job.cancelled
                    && *first <= job.received
                {
                    job.received = job.received.max((first + count).min(ITEMS));
                }
            }
            Step::Accept { job } => {
                if let Some(job) = state.jobs.get_mut(job) {
                    job.accepted |= job.received == ITEMS && !job.cancelled;
                }
            }
            Step::Complete { job, item, attempt } => {
                if let Some(job) = state.jobs.get_mut(job)
                    && job.accepted
                    && !job.cancelled
                {
                    job.results.entry(*item).or_insert(*attempt);
                }
            }
            Step::Cancel { job } => {
                if let Some(job) = state.jobs.get_mut(job) {
                    job.cancelled |= !job.is_complete();
                }
            }
            Step::Reload => {}
        }
        state
    }
}

fn id_of(job: u64) -> JobId {
    JobId { group: GroupId(0), hash: job }
}

fn specification(job: u64, digest: u64) -> JobSpecification {
    JobSpecification {
        tenant: Arc::from("tenant"),
        key: Arc::from(format!("key-{job}")),
        content_digest: digest,
        model: Arc::from("model"),
        adapter: None,
        item_count: ITEMS,
        deadline: UnixMillis(1_000),
        max_tokens: 16,
    }
}

fn command_of(step: &Step) -> Option<Command> {
    let at = UnixMillis(5);
    Some(match step {
        Step::Open { job, digest } => {
            Command::OpenJob { job: id_of(*job), specification: specification(*job, *digest), at }
        }
        Step::Add { job, first, count } => {
            let items = (*first..first + count).map(|item| NewItem {
                label: Arc::from(format!("label-{item}")),
                prompt: Arc::from(format!("prompt-{item}")),
            });
            Command::AddItems { job: id_of(*job), first: *first, items: items.collect() }
        }
        Step::Accept { job } => Command::AcceptJob { job: id_of(*job) },
        Step::Complete { job, item, attempt } => {
            let result = ItemResult {
                attempt: AttemptId(*attempt),
                engine: EngineName::new("engine"),
                verdict: ItemVerdict::Completed,
                text: Arc::from("text"),
                tokens: 1,
            };
            let results = vec![CompletedItem { item: *item, result }];
            Command::CompleteItems { job: id_of(*job), results, at }
        }
        Step::Cancel { job } => Command::CancelJob { job: id_of(*job), at },
        Step::Reload => return None,
    })
}

struct JobTableTest;

impl StateMachineTest for JobTableTest {
    type SystemUnderTest = PartitionState;
    type Reference = Model;

    fn init_test(_model: &Model) -> PartitionState {
        PartitionState::default()
    }

    fn apply(mut state: PartitionState, model: &Model, step: Step) -> PartitionState {
        let Some(command) = command_of(&step) else {
            let reloaded = PartitionState::decode(&state.encode()).expect("an encoded state decodes");
            assert_eq!(reloaded, state);
            return reloaded;
        };
        let first = state.apply(&command);
        let before = state.clone();
        let again = state.apply(&command);
        assert_eq!(before, state, "applying a command again changes nothing");
        let is_completion = matches!(step, Step::Complete { .. });
        assert!(is_completion || first == again, "{step:?}: first {first:?}, then {again:?}");
        if let Step::Open { job, digest } = step {
            let is_conflict = model.jobs[&job].digest != digest;
            assert_eq!(first == CommandOutcome::JobConflict, is_conflict);
        }
        state
    }

    fn check_invariants(state: &PartitionState, model: &Model) {
        for (job, expected) in &model.jobs {
            let QueryAnswer::Job(summary) = state.query(&Query::JobStatus { job: id_of(*job) }) else {
                panic!("job {job} is missing");
            };
            assert_eq!(summary.received, expected.received);
            assert_eq!(summary.completed as usize, expected.results.len());
            assert_eq!(summary.phase == JobPhase::Cancelled, expected.cancelled);
            assert_eq!(summary.phase == JobPhase::Accepted, expected.accepted && !expected.cancelled);
            let query = Query::JobResults { job: id_of(*job), first: 0, limit: ITEMS };
            let QueryAnswer::Results { results, .. } = state.query(&query) else { panic!("expected results") };
            let read: BTreeMap<u32, u128> = results.iter().map(|item| (item.item, item.result.attempt.0)).collect();
            assert_eq!(read, expected.results, "every item retains its first result");
        }
        let running = model.jobs.values().filter(|job| job.accepted && !job.cancelled && !job.is_complete()).count();
        assert_eq!(state.running_jobs().count(), running);
    }
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config())]

    #[test]
    fn job_table_matches_map(sequential 1..120 => JobTableTest);
}
