//! Compares marks and session records with a reference model. Guards against two attempts being
//! granted the same key, and against session moves that are applied late or twice.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use stallmoor_core::identity::{AttemptId, EngineName};
use stallmoor_core::node::partition::{
    Command, CommandOutcome, PartitionState, RequestKey, SessionKey, SessionRecord, Settlement,
};
use stallmoor_core::time::UnixMillis;

const KEYS: u64 = 2;
const HOLDERS: u128 = 4;

#[derive(Clone, Debug)]
enum Step {
    Mark { key: u64, holder: u128, digest: u64 },
    Settle { key: u64, holder: u128, settlement: Settlement },
    Place { session: u64, generation: u64, engine: u8 },
    Reload,
}

/// Reference model of marks and session records.
#[derive(Clone, Debug, Default)]
struct Model {
    /// Digest, holder and settlement by key.
    marks: BTreeMap<u64, (u64, u128, Option<Settlement>)>,
    sessions: BTreeMap<u64, (u64, u8)>,
    granted: bool,
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_state: &Model) -> BoxedStrategy<Step> {
        let settlement = prop_oneof![Just(Settlement::NotRun), Just(Settlement::Answered), Just(Settlement::Unknown)];
        prop_oneof![
            6 => (0..KEYS, 0..HOLDERS, prop::bool::weighted(0.1))
                .prop_map(|(key, holder, other)| Step::Mark { key, holder, digest: u64::from(other) }),
            4 => (0..KEYS, 0..HOLDERS, settlement)
                .prop_map(|(key, holder, settlement)| Step::Settle { key, holder, settlement }),
            4 => (0..KEYS, 1..6_u64, 0..3_u8)
                .prop_map(|(session, generation, engine)| Step::Place { session, generation, engine }),
            1 => Just(Step::Reload),
        ]
        .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        state.granted = false;
        match step {
            Step::Mark { key, holder, digest } => match state.marks.get(key).copied() {
                None => {
                    state.marks.insert(*key, (*digest, *holder, None));
                    state.granted = true;
                }
                Some((recorded, _, _)) if recorded != *digest => {}
                Some((_, owner, None)) => state.granted = owner == *holder,
                Some((_, owner, Some(Settlement::NotRun))) if owner != *holder => {
                    state.marks.insert(*key, (*digest, *holder, None));
                    state.granted = true;
                }
                Some(_) => {}
            },
            Step::Settle { key, holder, settlement } => {
                let mark = state.marks.entry(*key).or_insert((0, *holder, Some(*settlement)));
                if mark.1 == *holder && mark.2.is_none() {
                    mark.2 = Some(*settlement);
                }
            }
            Step::Place { session, generation, engine } => {
                let current = state.sessions.get(session).map_or(0, |(generation, _)| *generation);
                if *generation == current + 1 {
                    state.sessions.insert(*session, (*generation, *engine));
                }
            }
            Step::Reload => {}
        }
        state
    }
}

fn request(key: u64) -> RequestKey {
    RequestKey { tenant: Arc::from("tenant"), key: Arc::from(format!("key-{key}")) }
}

fn session_key(session: u64) -> SessionKey {
    SessionKey { tenant: Arc::from("tenant"), session: Arc::from(format!("session-{session}")) }
}

fn engine(number: u8) -> EngineName {
    EngineName::new(&format!("engine-{number}"))
}

/// The state under test, with the holders that were granted a mark and those that settled as not run.
struct Marks {
    state: PartitionState,
    senders: BTreeMap<u64, BTreeSet<u128>>,
    not_run: BTreeMap<u64, BTreeSet<u128>>,
}

struct MarksTest;

impl StateMachineTest for MarksTest {
    type SystemUnderTest = Marks;
    type Reference = Model;

    fn init_test(_model: &Model) -> Marks {
        Marks { state: PartitionState::default(), senders: BTreeMap::new(), not_run: BTreeMap::new() }
    }

    fn apply(mut marks: Marks, model: &Model, step: Step) -> Marks {
        let at = UnixMillis(1);
        match step {
            Step::Mark { key, holder, digest } => {
                let command = Command::MarkRequest { request: request(key), digest, holder: AttemptId(holder), at };
                let outcome = marks.state.apply(&command);
                assert_eq!(outcome == CommandOutcome::Marked, model.granted, "{outcome:?}");
                if outcome == CommandOutcome::Marked {
                    marks.senders.entry(key).or_default().insert(holder);
                }
            }
            Step::Settle { key, holder, settlement } => {
                let command = Command::SettleRequest {
                    request: request(key),
                    digest: 0,
                    holder: AttemptId(holder),
                    settlement,
                    at,
                };
                marks.state.apply(&command);
                if settlement == Settlement::NotRun {
                    marks.not_run.entry(key).or_default().insert(holder);
                }
            }
            Step::Place { session, generation, engine: engine_index } => {
                let record = SessionRecord {
                    model: Arc::from("model"),
                    engine: engine(engine_index),
                    generation,
                    placed_at: at,
                };
                marks.state.apply(&Command::PlaceSession { session: session_key(session), record });
            }
            Step::Reload => {
                marks.state = PartitionState::decode(&marks.state.encode()).expect("encoded state can be decoded");
            }
        }
        marks
    }

    fn check_invariants(marks: &Marks, model: &Model) {
        for (key, senders) in &marks.senders {
            let settled_not_run = marks.not_run.get(key).cloned().unwrap_or_default();
            // At most one granted holder has not reported that it did not run the request.
            assert!(senders.difference(&settled_not_run).count() <= 1, "two holders may have sent request {key}");
        }
        for (session, (generation, engine_index)) in &model.sessions {
            let record = marks.state.session(&session_key(*session)).expect("placed session must be stored");
            assert_eq!((record.generation, &record.engine), (*generation, &engine(*engine_index)));
        }
    }
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config())]

    #[test]
    fn marks_and_sessions_match_the_reference_model(sequential 1..150 => MarksTest);
}
