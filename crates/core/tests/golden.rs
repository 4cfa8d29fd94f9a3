//! Guards against incompatible changes of stored data, by comparing it with golden files: commands in the log, states
//! in snapshots, and records in the key-value service.

#[path = "support/golden.rs"]
mod golden;
#[path = "support/golden_values.rs"]
mod golden_values;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use golden::{Row, check_bytes, check_rows};
use golden_values::{job_commands, job_tables, partition_commands, partition_states};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stallmoor_core::identity::{CallerId, NodeId};
use stallmoor_core::node::configuration::{ApplyId, Bundle, Manifest, PartDigest, PartReference};
use stallmoor_core::node::control::{GroupsRecord, LeaseRecord};
use stallmoor_core::node::partition::{Command, PartitionState};
use stallmoor_core::node::{
    CallerCall, Clock, Effect, Event, KeyValueOperation, KeyValueOutcome, Node, NodeSettings, OperatorCall,
    PersistedNode,
};
use stallmoor_core::replication::LogIndex;
use stallmoor_core::serving::jobs::command::JobCommand;
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::pair::{PairRecord, PairState};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::time::{Timestamp, UnixMillis};

#[test]
fn encoding_of_job_table_commands_is_stable() {
    check_bytes("job-commands.txt", &job_commands(), |command| command.encode().to_vec(), JobCommand::decode);
}

#[test]
fn encoding_of_job_table_snapshots_is_stable() {
    check_bytes("job-tables.txt", &job_tables(), |table| table.encode().to_vec(), JobTable::decode);
}

#[test]
fn encoding_of_partition_commands_is_stable() {
    check_bytes("partition-commands.txt", &partition_commands(), |command| command.encode().to_vec(), Command::decode);
}

#[test]
fn encoding_of_partition_snapshots_is_stable() {
    check_bytes("partition-states.txt", &partition_states(), |state| state.encode().to_vec(), PartitionState::decode);
}

/// Checks that each value serializes to the JSON in the golden file and deserializes from it.
fn check_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, values: &[(&str, T)]) {
    let json = |value: &T| serde_json::to_string(value).expect("the value should serialize");
    let current: Vec<Row> = values.iter().map(|(name, value)| Row::new(name, &json(value))).collect();
    for (row, (_, value)) in check_rows(file, &current).iter().zip(values) {
        assert_eq!(&serde_json::from_str::<T>(&row.text).expect("valid JSON"), value, "{file}: {}", row.name);
    }
}

#[test]
fn json_of_storage_node_records_is_stable() {
    let record = |address: &str| StorageRecord {
        name: Arc::from("machine-a"),
        node: NodeId(u64::MAX),
        address: address.parse().expect("a valid address"),
        zone: Arc::from("zone-a"),
    };
    check_json("storage-records.txt", &[("v4", record("192.0.2.1:7100")), ("v6", record("[2001:db8::1]:7100"))]);
}

#[test]
fn json_of_pair_records_is_stable() {
    let record = |state| PairRecord { index: LogIndex(12), voters: [NodeId(2), NodeId(u64::MAX)].into(), state };
    let values = [
        ("whole", record(PairState::Whole)),
        ("survived", record(PairState::Survived(NodeId(2)))),
        ("dissolved", record(PairState::Dissolved)),
    ];
    check_json("pair-records.txt", &values);
}

#[test]
fn json_of_lease_records_is_stable() {
    let record = LeaseRecord { holder: NodeId(u64::MAX), epoch: 3, renewal: 41 };
    check_json("lease-records.txt", &[("held", record)]);
}

#[test]
fn json_of_group_founding_records_is_stable() {
    let groups = vec![[NodeId(1), NodeId(2), NodeId(3)].into(), [NodeId(u64::MAX)].into()];
    check_json("groups-records.txt", &[("none", GroupsRecord::default()), ("two", GroupsRecord { groups })]);
}

#[test]
fn json_of_manifests_is_stable() {
    let part = |name: &str, digest| PartReference { name: name.to_owned(), digest: PartDigest(digest) };
    let manifest = Manifest {
        revision: 7,
        parts: vec![part("engines.toml", 5), part("fleet.toml", u64::MAX)],
        applies: vec![(ApplyId(9), 6), (ApplyId(u64::MAX), 7)],
    };
    check_json("manifests.txt", &[("none", Manifest::default()), ("two-parts", manifest)]);
}

/// An in-memory key-value service that also records the first value written to each key.
#[derive(Default)]
struct KeyValueService {
    first: BTreeMap<String, String>,
    records: BTreeMap<String, (u64, String)>,
}

impl KeyValueService {
    fn with_records(rows: &[Row]) -> Self {
        let records = rows.iter().map(|row| (row.name.clone(), (1, row.unescaped()))).collect();
        Self { first: BTreeMap::new(), records }
    }

    fn call(&mut self, operation: KeyValueOperation) -> KeyValueOutcome {
        match operation {
            KeyValueOperation::Get { key } => match self.records.get(&key) {
                Some((version, value)) => KeyValueOutcome::Value { version: *version, value: Arc::from(&**value) },
                None => KeyValueOutcome::NotFound,
            },
            KeyValueOperation::CompareAndSwap { key, expected, value } => {
                if self.records.get(&key).map_or(0, |(version, _)| *version) != expected {
                    return KeyValueOutcome::VersionMismatch;
                }
                self.first.entry(key.clone()).or_insert_with(|| value.clone());
                self.records.insert(key, (expected + 1, value));
                KeyValueOutcome::Written
            }
        }
    }
}

/// A fleet of one storage node, with the key-value service that it calls.
struct SingleNodeFleet {
    node: Node,
    service: KeyValueService,
    now: u64,
}

impl SingleNodeFleet {
    fn start(service: KeyValueService) -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let settings = NodeSettings {
            stores: true,
            founding_stores: 1,
            ..NodeSettings::new(NodeId(0xabcd), "zone-a", address(7100), address(7200))
        };
        let node = Node::new(settings, PersistedNode::default(), clock(0), 1);
        Self { node, service, now: 0 }
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.node.handle(event, clock(self.now)) {
                if let Effect::KeyValue { call, operation } = effect {
                    events.push(Event::KeyValue { call, outcome: self.service.call(operation) });
                }
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            self.handle(Event::Tick);
        }
    }
}

fn clock(now: u64) -> Clock {
    Clock { now: Timestamp::from_millis(1_000_000 + now), wall_time: UnixMillis(1_700_000_000_000 + now) }
}

fn bundle() -> Bundle {
    let text = "name = \"fleet-a\"\nreplica_groups = 2\n";
    Bundle { files: BTreeMap::from([("fleet.toml".to_owned(), Arc::from(format!("[fleet]\n{text}")))]) }
}

#[test]
fn keys_and_records_in_the_key_value_service_are_stable() {
    let mut first = SingleNodeFleet::start(KeyValueService::default());
    let apply = OperatorCall::Apply { id: ApplyId(11), bundle: bundle(), expected_revision: None };
    first.handle(Event::Call { caller: CallerId(1), call: CallerCall::Operator(apply) });
    first.run(20_000);
    let written: Vec<Row> = first.service.first.iter().map(|(key, value)| Row::new(key, value)).collect();
    let stored = check_rows("key-value-service.txt", &written);

    let mut second = SingleNodeFleet::start(KeyValueService::with_records(&stored));
    second.run(20_000);
    assert_eq!(second.node.configuration_revision(), 1, "the stored configuration should be applied");
    let writes_founding = second.service.first.contains_key("groups");
    assert!(!writes_founding, "the stored founding record should be used");
    let lease: LeaseRecord = serde_json::from_str(&second.service.records["control/lease"].1).expect("a lease record");
    assert!(lease.epoch > 1 || lease.renewal > 0, "the stored lease should be continued");
}
