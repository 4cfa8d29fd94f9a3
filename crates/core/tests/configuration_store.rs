//! Concurrent configuration changes against a key-value service with lost responses and stale reads.
//! Guards against lost or duplicated changes and against a replica that returns to an older revision.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use stallmoor_core::node::configuration::apply::ApplyAnswer;
use stallmoor_core::node::configuration::{
    ApplyId, ApplyOutcome, ApplyStep, Bundle, ConfigurationApply, ConfigurationReplica, Manifest,
};
use stallmoor_core::time::Timestamp;

const OPERATORS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// An operator starts a change based on the newest known revision.
    Begin { operator: usize },
    /// The service processes a step; the request or the response may be lost, or the read stale.
    Answer { operator: usize, lost: bool, dropped: bool, stale: bool },
    /// The clock advances.
    Wait { millis: u64 },
    /// A node receives any current or earlier revision.
    Offer { revision: usize },
}

#[derive(Clone, Debug)]
struct Schedule;

impl ReferenceStateMachine for Schedule {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Step> {
        prop_oneof![
            2 => (0..OPERATORS).prop_map(|operator| Step::Begin { operator }),
            12 => (0..OPERATORS, prop::bool::weighted(0.2), prop::bool::weighted(0.1), prop::bool::weighted(0.2))
                .prop_map(|(operator, lost, dropped, stale)| Step::Answer { operator, lost, dropped, stale }),
            1 => (1..6_000_u64).prop_map(|millis| Step::Wait { millis }),
            2 => (0..8_usize).prop_map(|revision| Step::Offer { revision }),
        ]
        .boxed()
    }

    fn apply(state: (), _step: &Step) {
        state
    }
}

/// The manifest key of the key-value service with all its versions.
#[derive(Default)]
struct Service {
    version: u64,
    manifests: Vec<Manifest>,
}

struct World {
    now: u64,
    service: Service,
    changes: BTreeMap<usize, (ConfigurationApply, ApplyStep)>,
    known_revision: u64,
    started: u64,
    /// Accepted changes and the revision that each created.
    accepted: BTreeMap<ApplyId, u64>,
    refused: BTreeSet<ApplyId>,
    replica: ConfigurationReplica,
    contents: BTreeMap<u64, Bundle>,
    highest_revision: u64,
}

fn bundle(number: u64) -> Bundle {
    let text = format!("[fleet]\nname = \"fleet-{number}\"\n");
    Bundle { files: BTreeMap::from([("fleet.toml".to_owned(), Arc::from(text))]) }
}

impl World {
    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn take_step(&mut self, operator: usize, step: ApplyStep) {
        let Some((change, next)) = self.changes.get_mut(&operator) else { return };
        let ApplyStep::Done(outcome) = step else {
            *next = step;
            return;
        };
        let id = change.id();
        match outcome {
            ApplyOutcome::Accepted(manifest) => {
                let revision = manifest.revision_of(id).expect("the manifest must list the accepted change");
                self.accepted.insert(id, revision);
                self.known_revision = self.known_revision.max(manifest.revision);
            }
            ApplyOutcome::Conflict { current } => {
                self.refused.insert(id);
                self.known_revision = self.known_revision.max(current);
            }
            ApplyOutcome::Unavailable => {
                self.refused.insert(id);
            }
            ApplyOutcome::Unchanged(_) | ApplyOutcome::Unknown => {}
        }
        self.changes.remove(&operator);
    }

    fn execute(&mut self, step: &ApplyStep, stale: bool) -> ApplyAnswer {
        match step {
            ApplyStep::ReadManifest => {
                let offset = if stale && self.service.manifests.len() > 1 { 2 } else { 1 };
                let index = self.service.manifests.len().checked_sub(offset);
                let read = index.map(|index| (index as u64 + 1, self.service.manifests[index].clone()));
                ApplyAnswer::Manifest(read)
            }
            ApplyStep::WritePart(_) => ApplyAnswer::PartWritten,
            ApplyStep::SwapManifest { expected, manifest } => {
                if *expected != self.service.version {
                    return ApplyAnswer::VersionMismatch;
                }
                self.service.version += 1;
                self.service.manifests.push(manifest.clone());
                ApplyAnswer::Swapped
            }
            ApplyStep::Done(_) => unreachable!("completed changes are removed"),
        }
    }
}

struct ConfigurationTest;

impl StateMachineTest for ConfigurationTest {
    type SystemUnderTest = World;
    type Reference = Schedule;

    fn init_test(_state: &()) -> World {
        World {
            now: 1_000,
            service: Service::default(),
            changes: BTreeMap::new(),
            known_revision: 0,
            started: 0,
            accepted: BTreeMap::new(),
            refused: BTreeSet::new(),
            replica: ConfigurationReplica::default(),
            contents: BTreeMap::new(),
            highest_revision: 0,
        }
    }

    fn apply(mut world: World, _state: &(), step: Step) -> World {
        match step {
            Step::Begin { operator } => {
                if !world.changes.contains_key(&operator) {
                    world.started += 1;
                    let set = bundle(world.started);
                    world.contents.insert(world.started, set.clone());
                    let expected = Some(world.known_revision);
                    let change = ConfigurationApply::new(ApplyId(world.started), set, expected, world.time());
                    let first = change.begin();
                    world.changes.insert(operator, (change, first));
                }
            }
            Step::Answer { operator, lost, dropped, stale } => {
                let Some((_, step)) = world.changes.get(&operator).cloned() else { return world };
                let answer = if dropped { ApplyAnswer::NoAnswer } else { world.execute(&step, stale) };
                let answer = if lost { ApplyAnswer::NoAnswer } else { answer };
                let now = world.time();
                let next = world.changes.get_mut(&operator).map(|(change, _)| change.on_answer(answer, now));
                if let Some(next) = next {
                    world.take_step(operator, next);
                }
            }
            Step::Wait { millis } => world.now += millis,
            Step::Offer { revision } => {
                if let Some(manifest) = world.service.manifests.get(revision).cloned() {
                    let (id, _) = *manifest.applies.last().expect("every revision must list its change");
                    world.replica.offer(manifest);
                    for (digest, content) in world.contents[&id.0].parts() {
                        world.replica.offer_part(digest, content);
                    }
                }
            }
        }
        let revision = world.replica.revision();
        assert!(
            revision >= world.highest_revision,
            "the active revision decreased from {} to {revision}",
            world.highest_revision
        );
        world.highest_revision = revision;
        world
    }

    fn check_invariants(world: &World, _state: &()) {
        let revisions: BTreeSet<u64> = world.accepted.values().copied().collect();
        assert_eq!(revisions.len(), world.accepted.len(), "two accepted changes share a revision");
        if let Some(newest) = world.service.manifests.last() {
            for (id, revision) in &world.accepted {
                assert_eq!(newest.revision_of(*id), Some(*revision), "an accepted change is missing from the manifest");
            }
            for id in &world.refused {
                assert_eq!(newest.revision_of(*id), None, "a rejected change was applied");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config())]

    #[test]
    fn changes_are_accepted_one_at_a_time(sequential 1..150 => ConfigurationTest);
}
