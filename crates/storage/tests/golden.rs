//! Data folders against golden ones: a folder that an earlier version wrote is read, and today's code writes the same
//! rows and files.

#[path = "../../core/tests/support/golden.rs"]
mod golden;
#[path = "../../core/tests/support/golden_values.rs"]
mod golden_values;

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use golden::{Row, check_rows, golden_path, to_hex, writes_golden};
use golden_values::{job_commands, job_tables, partition_commands, partition_states};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::node::configuration::{
    ApplyId, Bundle, ConfigurationReplica, InForce, Manifest, PartReference, bundle::PartContents,
};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, HardState, LogIndex, LogWrite, PersistedReplica, Snapshot, Term,
};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_storage::{FolderOwner, ReplicaFolder, Store, StoreWrite};

const IDENTITY: NodeId = NodeId(11);
/// Its log has a snapshot and all kinds of writes.
const COMPACTED: GroupId = GroupId(3);
/// Its log has no snapshot yet.
const YOUNG: GroupId = GroupId(7);

fn owner(fresh: NodeId) -> FolderOwner {
    FolderOwner { peer_address: "127.0.0.1:7100".to_owned(), adopt: false, fresh_identity: fresh }
}

fn membership() -> GroupMembership {
    GroupMembership { voters: [NodeId(11), NodeId(12)].into(), learners: [NodeId(u64::MAX)].into() }
}

fn entries(first: u64, term: u64, payloads: Vec<EntryPayload>) -> LogWrite {
    let entry = |(index, payload)| Entry { term: Term(term), index: LogIndex(index), payload };
    LogWrite { entries: (first..).zip(payloads).map(entry).collect(), ..LogWrite::default() }
}

fn vote(term: u64, voted_for: Option<NodeId>) -> LogWrite {
    LogWrite { hard_state: Some(HardState { term: Term(term), voted_for }), ..LogWrite::default() }
}

/// What becomes of a replica whose log is compacted at index 3, and goes on after that.
fn writes(state: Arc<[u8]>, command: Arc<[u8]>) -> Vec<LogWrite> {
    let command = EntryPayload::Command(command);
    let begun = vec![EntryPayload::Membership(membership()), EntryPayload::Empty, command.clone(), command.clone()];
    let snapshot = Snapshot { index: LogIndex(3), term: Term(1), membership: membership(), state };
    let rewritten = LogWrite { truncate_from: Some(LogIndex(4)), ..entries(4, 2, vec![EntryPayload::Empty, command]) };
    vec![
        vote(1, Some(IDENTITY)),
        entries(1, 1, begun),
        LogWrite { snapshot: Some(snapshot), ..LogWrite::default() },
        vote(2, None),
        rewritten,
        vote(300, Some(NodeId(u64::MAX))),
    ]
}

fn jobs_writes() -> Vec<LogWrite> {
    let (_, table) = job_tables().pop().expect("a table");
    let (_, command) = job_commands().remove(0);
    writes(table.encode(), command.encode())
}

fn partition_writes() -> Vec<LogWrite> {
    let (_, state) = partition_states().pop().expect("a state");
    let (_, command) = partition_commands().remove(0);
    writes(state.encode(), command.encode())
}

fn young_writes() -> Vec<LogWrite> {
    vec![vote(1, None), entries(1, 1, vec![EntryPayload::Membership(membership())])]
}

/// What a replica holds after writes, by their specification.
fn after(writes: &[LogWrite]) -> PersistedReplica {
    let mut replica = PersistedReplica::default();
    for write in writes {
        replica.write(write);
    }
    replica
}

fn read_table(state: &[u8]) -> bool {
    JobTable::decode(state).is_some()
}

/// Writes a storing node's folder by today's code.
fn write_replica_folder(folder: &Path) {
    let mut opened = ReplicaFolder::open(folder, &owner(IDENTITY), read_table).expect("the folder is used");
    for (group, writes) in [(COMPACTED, jobs_writes()), (YOUNG, young_writes())] {
        let mut log = opened.take(group).expect("it is made");
        for write in writes {
            log.write(&[write]).expect("it is written");
            log.settle().expect("it is written");
        }
    }
}

/// The configuration in force at the node whose store is written.
fn configuration() -> Arc<InForce> {
    let fleet: Arc<str> = Arc::from("[fleet]\nname = \"fleet-a\"\n");
    let files = Bundle { files: BTreeMap::from([("fleet.toml".to_owned(), fleet)]) };
    let parts: Vec<PartReference> = files.references();
    let contents: PartContents = files.parts();
    let mut replica = ConfigurationReplica::default();
    replica.offer(Manifest { revision: 2, parts, applies: vec![(ApplyId(8), 1), (ApplyId(u64::MAX), 2)] });
    for (digest, content) in contents {
        replica.offer_part(digest, content);
    }
    replica.in_force().expect("it is in force").clone()
}

/// Writes a node's store by today's code.
fn write_store(folder: &Path) {
    let opened = Store::open(folder, &owner(IDENTITY)).expect("the folder is used");
    let compacted = partition_writes().into_iter().map(|write| (COMPACTED, write));
    let groups = compacted.chain(young_writes().into_iter().map(|write| (YOUNG, write))).collect();
    let batch = StoreWrite { groups, configuration: Some(configuration()) };
    opened.store.write(&batch).expect("it is written");
}

/// The rows of a folder's store. The file itself differs from run to run in what has no meaning.
fn store_rows(folder: &Path) -> Vec<Row> {
    let database = Database::open(folder.join("store.redb")).expect("a store");
    let reading = database.begin_read().expect("it can be read");
    let mut rows = Vec::new();
    for name in ["header", "configuration"] {
        let table = reading.open_table(TableDefinition::<&str, &[u8]>::new(name)).expect("a table");
        for row in table.iter().expect("rows") {
            let (key, value) = row.expect("a row");
            rows.push(Row::new(&format!("{name}/{}", key.value()), &to_hex(value.value())));
        }
    }
    for name in ["hard_states", "snapshots"] {
        let table = reading.open_table(TableDefinition::<u32, &[u8]>::new(name)).expect("a table");
        for row in table.iter().expect("rows") {
            let (key, value) = row.expect("a row");
            rows.push(Row::new(&format!("{name}/{}", key.value()), &to_hex(value.value())));
        }
    }
    let table = reading.open_table(TableDefinition::<(u32, u64), &[u8]>::new("entries")).expect("a table");
    for row in table.iter().expect("rows") {
        let (key, value) = row.expect("a row");
        let (group, index) = key.value();
        rows.push(Row::new(&format!("entries/{group}/{index}"), &to_hex(value.value())));
    }
    rows
}

/// The files of a folder that are replicas'.
fn replica_rows(folder: &Path) -> Vec<Row> {
    let names = fs::read_dir(folder).expect("a folder").map(|file| file.expect("a file").file_name());
    let mut names: Vec<String> = names.map(|name| name.into_string().expect("text")).collect();
    names.retain(|name| name.starts_with("replica-"));
    names.sort();
    let row = |name: &String| Row::new(name, &to_hex(&fs::read(folder.join(name)).expect("it can be read")));
    names.iter().map(row).collect()
}

/// Keeps the store of a folder as a golden file, if those are to be written, and lays the golden one into another
/// folder. It is compressed, since most of it is empty.
fn lay_golden_store(file: &str, written: &Path, target: &Path) {
    let path = golden_path(file);
    if writes_golden() {
        fs::create_dir_all(golden_path("")).expect("the folder can be made");
        let mut encoder = GzEncoder::new(fs::File::create(&path).expect("it can be made"), Compression::best());
        let store = fs::read(written.join("store.redb")).expect("a store");
        encoder.write_all(&store).and_then(|()| encoder.finish()).expect("it can be written");
    }
    let stored = fs::File::open(&path).unwrap_or_else(|error| panic!("{file} can't be read: {error}"));
    let mut laid = fs::File::create(target.join("store.redb")).expect("it can be made");
    std::io::copy(&mut GzDecoder::new(stored), &mut laid).expect("it can be unpacked");
}

#[test]
fn a_storing_nodes_folder_is_as_ever() {
    let (written, laid) = (tempfile::tempdir().expect("a folder"), tempfile::tempdir().expect("a folder"));
    write_replica_folder(written.path());
    lay_golden_store("replica-folder-store.redb.gz", written.path(), laid.path());
    assert_eq!(check_rows("replica-folder-store.txt", &store_rows(written.path())), store_rows(laid.path()));
    for row in check_rows("replica-folder-files.txt", &replica_rows(written.path())) {
        fs::write(laid.path().join(&row.name), golden::from_hex(&row.text)).expect("it can be written");
    }

    let mut opened = ReplicaFolder::open(laid.path(), &owner(NodeId(99)), read_table).expect("the folder is used");
    assert!(!opened.formatted && opened.set_aside.is_none(), "the folder is sound");
    assert_eq!(opened.identity, IDENTITY);
    assert_eq!(opened.groups().collect::<Vec<_>>(), vec![COMPACTED, YOUNG]);
    for (group, writes) in [(COMPACTED, jobs_writes()), (YOUNG, young_writes())] {
        assert_eq!(opened.take(group).expect("it is there").contents(), &after(&writes), "group {group}");
    }
}

#[test]
fn a_nodes_store_is_as_ever() {
    let (written, laid) = (tempfile::tempdir().expect("a folder"), tempfile::tempdir().expect("a folder"));
    write_store(written.path());
    lay_golden_store("node-store.redb.gz", written.path(), laid.path());
    assert_eq!(check_rows("node-store.txt", &store_rows(written.path())), store_rows(laid.path()));

    let opened = Store::open(laid.path(), &owner(NodeId(99))).expect("the folder is used");
    assert!(!opened.formatted && opened.set_aside.is_none(), "the folder is sound");
    assert_eq!(opened.identity, IDENTITY);
    let groups = [(COMPACTED, after(&partition_writes())), (YOUNG, after(&young_writes()))];
    assert_eq!(opened.persisted.groups, groups.into());
    let in_force = configuration();
    assert_eq!(opened.persisted.configuration, Some((in_force.manifest.clone(), in_force.contents.clone())));
}
