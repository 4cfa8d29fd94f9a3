//! How long the fleet takes to recover: seven real nodes, five of them storing, on a virtual clock with a
//! network without delay. The figures are those of the protocol's time-outs; a real network adds its
//! round trips.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;
use stallmoor_core::configuration::{ApplyId, Bundle};
use stallmoor_core::hashing::group_of;
use stallmoor_core::identity::{CallerId, EngineName};
use stallmoor_core::node::{
    BatchCall, CallerAnswer, CallerCall, Event, JobSubmission, MachineReport, OperatorCall, StreamEvent,
};
use stallmoor_core::online::OnlineCall;
use stallmoor_core::partition::NewItem;
use stallmoor_core::time::Millis;

use crate::capacity::fleet::Fleet;

const NODES: usize = 7;
const STORES: usize = 5;
const ENGINES: usize = 12;
const GROUPS: usize = 8;
/// Nothing that is measured takes longer, in milliseconds.
const LIMIT_MS: u64 = 120_000;

/// How long one kind of recovery took over all trials, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RecoveryTime {
    /// Trials.
    pub trials: usize,
    /// Trials that did not recover within the limit.
    pub unrecovered: usize,
    /// The median.
    pub median_ms: u64,
    /// The longest.
    pub worst_ms: u64,
}

/// Measures every kind of recovery, each over `trials` seeds.
pub fn measure(trials: u64) -> BTreeMap<&'static str, RecoveryTime> {
    type Trial = fn(u64) -> Option<u64>;
    let kinds: [(&'static str, Trial); 5] = [
        ("leader_kill_to_next_accepted_write", leader_kill),
        ("disk_loss_to_full_replication", disk_loss),
        ("apply_to_in_force_everywhere", |seed| apply_in_force(seed, false)),
        ("apply_to_in_force_everywhere_key_value_down", |seed| apply_in_force(seed, true)),
        ("machine_leaving_to_last_new_request", machine_leaving),
    ];
    kinds.into_iter().map(|(name, trial)| (name, summarize((1..=trials).map(trial).collect()))).collect()
}

fn summarize(times: Vec<Option<u64>>) -> RecoveryTime {
    let trials = times.len();
    let mut recovered: Vec<u64> = times.into_iter().flatten().collect();
    recovered.sort_unstable();
    RecoveryTime {
        trials,
        unrecovered: trials - recovered.len(),
        median_ms: recovered.get(recovered.len() / 2).copied().unwrap_or(0),
        worst_ms: recovered.last().copied().unwrap_or(0),
    }
}

/// A fleet that serves.
fn ready_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::start_seeded(NODES, STORES, ENGINES, seed);
    fleet.run(3_000);
    let bundle = fleet.bundle(10, GROUPS);
    fleet.apply(bundle);
    // Each trial begins at another phase of the nodes' timers.
    fleet.run(15_000 + seed * 175 % 1_000);
    fleet
}

/// The node that leads a group.
fn leader_of(fleet: &Fleet, group: u32) -> Option<usize> {
    (0..fleet.nodes.len())
        .filter(|node| !fleet.down.contains(node))
        .find(|node| fleet.nodes[*node].status().groups.iter().any(|status| status.group == group && status.leads))
}

/// Whether every group has a leader with three whole voters, all of them up.
fn is_whole(fleet: &Fleet) -> bool {
    let up: Vec<String> = (0..fleet.nodes.len())
        .filter(|node| !fleet.down.contains(node))
        .map(|node| fleet.nodes[node].id().to_string())
        .collect();
    (0..GROUPS as u32).all(|group| {
        leader_of(fleet, group).is_some_and(|leader| {
            let status = fleet.nodes[leader].status();
            let held = status.groups.iter().find(|status| status.group == group);
            held.is_some_and(|held| {
                held.caught_up && held.voters.len() == 3 && held.voters.iter().all(|voter| up.contains(voter))
            })
        })
    })
}

fn leader_kill(seed: u64) -> Option<u64> {
    let mut fleet = ready_fleet(seed);
    let key = format!("key-{seed}");
    let group = group_of("tenant-1", &key, GROUPS as u32);
    let leader = leader_of(&fleet, group.0)?;
    fleet.down.insert(leader);
    let other = (0..NODES).find(|node| *node != leader)?;
    let caller = CallerId(100);
    let submission = JobSubmission {
        tenant: Arc::from("tenant-1"),
        key: Some(Arc::from(key)),
        model: Arc::from("model-1"),
        adapter: None,
        items: vec![NewItem { label: Arc::from("1"), prompt: Arc::from("a prompt") }],
        within: Millis(60_000),
        max_tokens: None,
        accept: true,
    };
    let call = CallerCall::Batch(BatchCall::Submit(submission));
    fleet.feed(other, Event::Call { caller, call });
    fleet.run_until(LIMIT_MS, |fleet| {
        fleet.answers.iter().any(|(to, answer)| *to == caller && matches!(answer, CallerAnswer::Job { .. }))
    })
}

fn disk_loss(seed: u64) -> Option<u64> {
    const BACK_AFTER_MS: u64 = 1_000;
    let mut fleet = ready_fleet(seed);
    let lost = seed as usize % STORES;
    fleet.down.insert(lost);
    fleet.run(BACK_AFTER_MS);
    fleet.replace_blank(lost);
    fleet.run_until(LIMIT_MS, is_whole).map(|waited| waited + BACK_AFTER_MS)
}

fn apply_in_force(seed: u64, key_value_down: bool) -> Option<u64> {
    let mut fleet = ready_fleet(seed);
    let mut files = fleet.bundle(10, GROUPS).files;
    files.insert("more.toml".to_owned(), Arc::from("[[tenant]]\nname = \"one-more\"\n"));
    let call = OperatorCall::Apply { id: ApplyId(77), bundle: Bundle { files }, expected_revision: None };
    let caller = CallerId(200);
    fleet.feed(seed as usize % NODES, Event::Call { caller, call: CallerCall::Operator(call) });
    let is_accepted = |fleet: &Fleet| {
        fleet.answers.iter().any(|(to, answer)| *to == caller && matches!(answer, CallerAnswer::Applied { .. }))
    };
    fleet.run_until(LIMIT_MS, is_accepted)?;
    fleet.key_value_down = key_value_down;
    let in_force = |fleet: &Fleet| fleet.nodes.iter().all(|node| node.configuration_revision() == 2);
    if in_force(&fleet) {
        return Some(0);
    }
    fleet.run_until(LIMIT_MS, in_force)
}

/// From the machine list's first saying so to the last request sent there.
fn machine_leaving(seed: u64) -> Option<u64> {
    const WATCHED_MS: u64 = 15_000;
    let mut fleet = ready_fleet(seed);
    let engine = EngineName::new(&format!("engine-{}", seed as usize % ENGINES));
    fleet.machines = vec![MachineReport { engine: engine.clone(), incarnation: 1, leaving: true }];
    let began = fleet.now_ms();
    let mut last = began;
    let mut number = 1_000;
    while fleet.now_ms() < began + WATCHED_MS {
        for node in 0..NODES {
            number += 1;
            let call = CallerCall::Online(question(number));
            fleet.feed(node, Event::Call { caller: CallerId(number), call });
        }
        fleet.settle();
        for (node, request) in std::mem::take(&mut fleet.requests) {
            if request.engine == engine {
                last = fleet.now_ms();
            }
            let attempt = request.attempt;
            fleet.feed(node, Event::Stream { attempt, event: StreamEvent::End { attempt, length: 0 } });
        }
        fleet.run(25);
    }
    Some(last - began)
}

fn question(number: u64) -> OnlineCall {
    OnlineCall {
        id: Arc::from(format!("request-{number}")),
        tenant: Arc::from("tenant-1"),
        model: Arc::from(format!("model-{}", number % 12)),
        adapter: None,
        session: None,
        key: None,
        repeatable: true,
        deadline: None,
        prompt: Arc::from(format!("question {number}")),
        max_tokens: None,
        from_token: 0,
    }
}
