//! The measurements.

use std::sync::Arc;
use std::time::Instant;

use serde::Serialize;
use stallmoor_core::identity::{AttemptId, CallerId, EngineName, GroupId, JobId};
use stallmoor_core::node::{CallerCall, Event, StreamEvent};
use stallmoor_core::online::OnlineCall;
use stallmoor_core::partition::{
    Command, CompletedItem, ItemResult, ItemVerdict, JobSpecification, NewItem, PartitionState,
};
use stallmoor_core::time::UnixMillis;

use super::fleet::{Fleet, MODELS};
use super::slope::{Point, Slope, fit};

/// Virtual time over which a steady state is measured, in milliseconds: one interval of full exchanges.
const STEADY_MS: u64 = 30_000;
/// Virtual time after which a fleet that started at once has nothing left to spread, in milliseconds.
const WARM_UP_MS: u64 = 300_000;

/// One thing measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Measure {
    /// What.
    pub name: String,
    /// The unit of size.
    pub per: String,
    /// The unit of value.
    pub unit: String,
    /// The points.
    pub points: Vec<Point>,
    /// The line through them.
    pub slope: Slope,
    /// The value of the line at the size of the letter.
    pub at_target: f64,
    /// That size.
    pub target: f64,
}

/// All measurements.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CapacityReport {
    /// In order.
    pub measures: Vec<Measure>,
}

impl Measure {
    fn new(name: &str, per: &str, unit: &str, target: f64, points: Vec<Point>) -> Self {
        let slope = fit(&points);
        Self {
            name: name.to_owned(),
            per: per.to_owned(),
            unit: unit.to_owned(),
            at_target: slope.at(target),
            slope,
            points,
            target,
        }
    }
}

/// Measurements that vary one thing.
#[derive(Clone, Copy)]
pub struct Part {
    /// What varies.
    pub name: &'static str,
    run: fn() -> Vec<Measure>,
}

/// All measurements.
pub const PARTS: [Part; 6] = [
    Part { name: "nodes", run: measure_nodes },
    Part { name: "groups", run: measure_groups },
    Part { name: "requests", run: measure_requests },
    Part { name: "items", run: measure_items },
    Part { name: "engines", run: measure_engines },
    Part { name: "tenants", run: measure_tenants },
];

/// Runs all measurements, or one part of them.
pub fn run_parts(only: Option<&str>) -> CapacityReport {
    let wanted = PARTS.iter().filter(|part| only.is_none_or(|only| only == part.name));
    CapacityReport { measures: wanted.flat_map(|part| (part.run)()).collect() }
}

/// What a storing node spends on its replicas at rest, by the number of replicas it holds.
fn measure_groups() -> Vec<Measure> {
    /// 256 groups of three replicas over 96 storing nodes.
    const TARGET: f64 = 256.0 * 3.0 / 96.0;
    const NODES: usize = 6;
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    let mut busy = Vec::new();
    for groups in [8, 16, 32, 64] {
        let mut fleet = Fleet::start(NODES, NODES, 0);
        fleet.run(3_000);
        let bundle = fleet.bundle(10, groups);
        fleet.apply(bundle);
        fleet.run(20_000);
        fleet.spending = super::fleet::Spending::default();
        fleet.run(STEADY_MS);
        let per_node = NODES as f64 * STEADY_MS as f64 / 1_000.0;
        let size = groups as f64 * 3.0 / NODES as f64;
        let traffic = fleet.spending.traffic.get("replication").copied().unwrap_or_default();
        bytes.push(Point { size, value: traffic.bytes as f64 / per_node });
        messages.push(Point { size, value: traffic.messages as f64 / per_node });
        busy.push(Point { size, value: fleet.spending.busy.as_secs_f64() / per_node * 100.0 });
    }
    let per = "replica at a node";
    vec![
        Measure::new("storing: replication at rest", per, "bytes/s", TARGET, bytes),
        Measure::new("storing: replication messages at rest", per, "messages/s", TARGET, messages),
        Measure::new("storing: decision code at rest", per, "% of a core", TARGET, busy),
    ]
}

/// What a node spends at rest, by the number of nodes.
fn measure_nodes() -> Vec<Measure> {
    const TARGET: f64 = 320.0;
    let mut busy = Vec::new();
    let mut bytes = Vec::new();
    let mut messages = Vec::new();
    let mut memory = Vec::new();
    for nodes in [40, 80, 160, 320] {
        let before = resident_bytes();
        let mut fleet = Fleet::start(nodes, 0, 0);
        fleet.run(WARM_UP_MS);
        let seen = fleet.least_seen();
        assert_eq!(seen, nodes, "every node must see all {nodes}");
        let used = resident_bytes().saturating_sub(before);
        fleet.spending = super::fleet::Spending::default();
        fleet.run(STEADY_MS);
        let seconds = STEADY_MS as f64 / 1_000.0;
        let per_node = nodes as f64 * seconds;
        let size = nodes as f64;
        busy.push(Point { size, value: fleet.spending.busy.as_secs_f64() / per_node * 100.0 });
        bytes.push(Point { size, value: fleet.spending.bytes() as f64 / per_node });
        messages.push(Point { size, value: fleet.spending.messages() as f64 / per_node });
        memory.push(Point { size, value: used as f64 / nodes as f64 / 1_024.0 });
    }
    vec![
        Measure::new("every node: decision code at rest", "node in the fleet", "% of a core", TARGET, busy),
        Measure::new("every node: messages sent at rest", "node in the fleet", "messages/s", TARGET, messages),
        Measure::new("every node: bytes sent at rest", "node in the fleet", "bytes/s", TARGET, bytes),
        Measure::new("every node: memory of the decision code", "node in the fleet", "KiB", TARGET, memory),
    ]
}

/// What online requests cost at the node that serves them, at the steward, and on the wire.
fn measure_requests() -> Vec<Measure> {
    /// 4,700 requests a second over 320 nodes.
    const TARGET: f64 = 4_700.0 / 320.0;
    const NODES: usize = 8;
    let mut busy = Vec::new();
    let mut credit = Vec::new();
    let mut group = Vec::new();
    for rate in [5_u64, 10, 20, 40, 80] {
        let mut fleet = Fleet::start(NODES, 5, 48);
        fleet.run(3_000);
        let bundle = fleet.bundle(100, 16);
        fleet.apply(bundle);
        fleet.run(12_000);
        assert_eq!(fleet.configured(), NODES, "every node must be configured");
        fleet.spending = super::fleet::Spending::default();
        fleet.run(2_000);
        let rest = fleet.spending.clone();
        fleet.spending = super::fleet::Spending::default();
        serve_online(&mut fleet, rate);
        let spent = &fleet.spending;
        let per_node = NODES as f64 * 2.0;
        let size = rate as f64;
        let busy_share = (spent.busy.as_secs_f64() - rest.busy.as_secs_f64()) / per_node * 100.0;
        busy.push(Point { size, value: busy_share });
        let of = |kind: &str| {
            let bytes =
                |spending: &super::fleet::Spending| spending.traffic.get(kind).map_or(0, |traffic| traffic.bytes);
            (bytes(spent) as f64 - bytes(&rest) as f64) / per_node
        };
        credit.push(Point { size, value: of("credit") });
        group.push(Point { size, value: of("group requests") + of("replication") });
    }
    let per = "online request/s at a node";
    vec![
        Measure::new("caller-facing: decision code beyond rest", per, "% of a core", TARGET, busy),
        Measure::new("caller-facing and steward: credit messages", per, "bytes/s", TARGET, credit),
        Measure::new("caller-facing and storing: session records", per, "bytes/s", TARGET, group),
    ]
}

/// Two seconds of online requests at every node, each answered in 32 pieces.
fn serve_online(fleet: &mut Fleet, rate: u64) {
    const PIECES: u32 = 32;
    let nodes = fleet.nodes.len();
    let mut caller = 10;
    let mut owed = 0;
    for _ in 0..80 {
        owed += rate * 25;
        while owed >= 1_000 {
            owed -= 1_000;
            for node in 0..nodes {
                caller += 1;
                let call = CallerCall::Online(question(caller));
                fleet.feed(node, Event::Call { caller: CallerId(caller), call });
            }
        }
        fleet.settle();
        let requests = std::mem::take(&mut fleet.requests);
        for (node, request) in requests {
            let attempt = request.attempt;
            for piece in 0..PIECES {
                let event = StreamEvent::Piece { attempt, first: piece, tokens: 1, text: "word ".to_owned() };
                fleet.feed(node, Event::Stream { attempt, event });
            }
            let event = StreamEvent::End { attempt, length: PIECES };
            fleet.feed(node, Event::Stream { attempt, event });
        }
        fleet.run(25);
    }
}

fn question(number: u64) -> OnlineCall {
    OnlineCall {
        id: Arc::from(format!("request-{number}")),
        tenant: Arc::from(format!("tenant-{}", number % 100)),
        model: Arc::from(format!("model-{}", number as usize % MODELS)),
        adapter: None,
        session: Some(Arc::from(format!("session-{}", number / 4))),
        key: None,
        repeatable: true,
        deadline: None,
        prompt: Arc::from("a question of ordinary length, with what went before in its session. ".repeat(8)),
        max_tokens: Some(64),
        from_token: 0,
    }
}

/// What batch items cost a storing node: memory, disk, time to apply, time for a snapshot.
fn measure_items() -> Vec<Measure> {
    /// A day's items over 3 replicas on 96 storing nodes.
    const ITEMS_PER_STORE: f64 = 94_000_000.0 * 3.0 / 96.0;
    let mut memory = Vec::new();
    let mut apply = Vec::new();
    let mut snapshot = Vec::new();
    let mut log = Vec::new();
    for items in [20_000_u32, 40_000, 80_000, 160_000] {
        let size = f64::from(items);
        let before = resident_bytes();
        let commands = job_commands(items);
        let bytes: usize = commands.iter().map(|command| command.encode().len()).sum();
        let began = Instant::now();
        let mut state = PartitionState::default();
        for command in &commands {
            state.apply(command);
        }
        apply.push(Point { size, value: began.elapsed().as_secs_f64() * 1_000.0 });
        drop(commands);
        memory.push(Point { size, value: resident_bytes().saturating_sub(before) as f64 / 1_024.0 });
        let began = Instant::now();
        let encoded = state.encode();
        snapshot.push(Point { size, value: began.elapsed().as_secs_f64() * 1_000.0 });
        assert!(PartitionState::decode(&encoded).is_some(), "a snapshot must be readable");
        log.push(Point { size, value: bytes as f64 / 1_024.0 });
    }
    let per = "completed item of 400 + 200 bytes";
    vec![
        Measure::new("storing: memory of the state", per, "KiB", ITEMS_PER_STORE, memory),
        Measure::new("storing: log written", per, "KiB", ITEMS_PER_STORE, log),
        Measure::new("storing: time to apply", per, "ms", ITEMS_PER_STORE, apply),
        Measure::new("storing: time to encode a snapshot", per, "ms", ITEMS_PER_STORE, snapshot),
    ]
}

/// Everything that a job goes through, its prompts of 400 bytes and its results of 200.
fn job_commands(items: u32) -> Vec<Command> {
    const CHUNK: u32 = 500;
    let job = JobId { group: GroupId(0), hash: u64::from(items) };
    let at = UnixMillis(1);
    let prompt: String = "p".repeat(392);
    let text: String = "t".repeat(200);
    let specification = JobSpecification {
        tenant: Arc::from("tenant"),
        key: Arc::from("key"),
        content_digest: 1,
        model: Arc::from("model"),
        adapter: None,
        item_count: items,
        deadline: UnixMillis(1),
        max_tokens: 64,
    };
    let mut commands = vec![Command::OpenJob { job, specification, at }];
    for first in (0..items).step_by(CHUNK as usize) {
        let places = first..(first + CHUNK).min(items);
        let new_items = places.map(|item| NewItem {
            label: Arc::from(item.to_string()),
            prompt: Arc::from(format!("{item:>8}{prompt}")),
        });
        commands.push(Command::AddItems { job, first, items: new_items.collect() });
    }
    commands.push(Command::AcceptJob { job });
    for item in 0..items {
        let result = ItemResult {
            attempt: AttemptId(u128::from(item)),
            engine: EngineName::new("engine-1"),
            verdict: ItemVerdict::Completed,
            text: Arc::from(text.as_str()),
            tokens: 40,
        };
        commands.push(Command::CompleteItems { job, results: vec![CompletedItem { item, result }], at });
    }
    commands
}

/// What the number of engines costs a node and the control holder.
fn measure_engines() -> Vec<Measure> {
    const TARGET: f64 = 710.0;
    const NODES: usize = 5;
    let mut busy = Vec::new();
    let mut polls = Vec::new();
    for engines in [90, 180, 360, 710] {
        let mut fleet = Fleet::start(NODES, NODES, engines);
        fleet.run(3_000);
        let bundle = fleet.bundle(100, 8);
        fleet.apply(bundle);
        fleet.run(20_000);
        assert_eq!(fleet.configured(), NODES, "every node must be configured");
        fleet.spending = super::fleet::Spending::default();
        fleet.run(STEADY_MS);
        let seconds = STEADY_MS as f64 / 1_000.0;
        let size = engines as f64;
        busy.push(Point { size, value: fleet.spending.busy.as_secs_f64() / (NODES as f64 * seconds) * 100.0 });
        polls.push(Point { size, value: fleet.spending.polls as f64 / seconds });
    }
    vec![
        Measure::new("every node: decision code at rest", "engine", "% of a core", TARGET, busy),
        Measure::new("all five nodes, control holder among them: polls", "engine", "polls/s", TARGET, polls),
    ]
}

/// What the number of tenants costs when a change of configuration is taken.
fn measure_tenants() -> Vec<Measure> {
    const TARGET: f64 = 23_000.0;
    let mut check = Vec::new();
    let mut size_points = Vec::new();
    for tenants in [2_875, 5_750, 11_500, 23_000] {
        let bundle = Fleet::start(1, 0, 710).bundle(tenants, 256);
        let began = Instant::now();
        assert!(bundle.check().is_ok(), "the set must pass");
        let size = tenants as f64;
        check.push(Point { size, value: began.elapsed().as_secs_f64() * 1_000.0 });
        let bytes: usize = bundle.files.values().map(|file| file.len()).sum();
        size_points.push(Point { size, value: bytes as f64 / 1_024.0 });
    }
    vec![
        Measure::new("every node: time to take a revision", "tenant", "ms", TARGET, check),
        Measure::new("every node: size of the set", "tenant", "KiB", TARGET, size_points),
    ]
}

/// Memory of this process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
