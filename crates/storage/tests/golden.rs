//! Compares data folders with golden ones. Guards against format changes that keep a node from reading a folder that an
//! earlier version wrote.

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
    ActiveConfiguration, ApplyId, Bundle, ConfigurationReplica, Manifest, PartReference, bundle::PartContents,
};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, HardState, LogIndex, LogWrite, PersistedReplica, Snapshot, Term,
};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_storage::{FolderOwner, ReplicaFolder, Store, StoreWrite};

const IDENTITY: NodeId = NodeId(11);
/// Group whose log has a snapshot and all kinds of writes.
const COMPACTED: GroupId = GroupId(3);
/// Group whose log has no snapshot.
const UNCOMPACTED: GroupId = GroupId(7);

fn owner(fresh: NodeId) -> FolderOwner {
    FolderOwner { peer_address: "127.0.0.1:7100".to_owned(), adopt: false, new_identity: fresh }
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

/// Writes of a replica whose log is compacted at index 3 and then partly overwritten.
fn writes(state: Arc<[u8]>, command: Arc<[u8]>) -> Vec<LogWrite> {
    let command = EntryPayload::Command(command);
    let first_entries =
        vec![EntryPayload::Membership(membership()), EntryPayload::Empty, command.clone(), command.clone()];
    let snapshot = Snapshot { index: LogIndex(3), term: Term(1), membership: membership(), state };
    let overwrite = LogWrite { truncate_from: Some(LogIndex(4)), ..entries(4, 2, vec![EntryPayload::Empty, command]) };
    vec![
        vote(1, Some(IDENTITY)),
        entries(1, 1, first_entries),
        LogWrite { snapshot: Some(snapshot), ..LogWrite::default() },
        vote(2, None),
        overwrite,
        vote(300, Some(NodeId(u64::MAX))),
    ]
}

fn jobs_writes() -> Vec<LogWrite> {
    let (_, table) = job_tables().pop().expect("a job table");
    let (_, command) = job_commands().remove(0);
    writes(table.encode(), command.encode())
}

fn partition_writes() -> Vec<LogWrite> {
    let (_, state) = partition_states().pop().expect("a partition state");
    let (_, command) = partition_commands().remove(0);
    writes(state.encode(), command.encode())
}

fn uncompacted_writes() -> Vec<LogWrite> {
    vec![vote(1, None), entries(1, 1, vec![EntryPayload::Membership(membership())])]
}

/// Returns the replica that results from applying writes in memory.
fn replica_after(writes: &[LogWrite]) -> PersistedReplica {
    let mut replica = PersistedReplica::default();
    for write in writes {
        replica.write(write);
    }
    replica
}

fn is_job_table(state: &[u8]) -> bool {
    JobTable::decode(state).is_some()
}

/// Writes the folder of a storage node with the current code.
fn write_replica_folder(folder: &Path) {
    let mut opened = ReplicaFolder::open(folder, &owner(IDENTITY), is_job_table).expect("open folder");
    for (group, writes) in [(COMPACTED, jobs_writes()), (UNCOMPACTED, uncompacted_writes())] {
        let mut log = opened.take(group).expect("take replica");
        for write in writes {
            log.write(&[write]).expect("write to log");
            log.finish_snapshot().expect("settle log");
        }
    }
}

fn configuration() -> Arc<ActiveConfiguration> {
    let fleet: Arc<str> = Arc::from("[fleet]\nname = \"fleet-a\"\n");
    let files = Bundle { files: BTreeMap::from([("fleet.toml".to_owned(), fleet)]) };
    let parts: Vec<PartReference> = files.references();
    let contents: PartContents = files.parts();
    let mut replica = ConfigurationReplica::default();
    replica.offer(Manifest { revision: 2, parts, applies: vec![(ApplyId(8), 1), (ApplyId(u64::MAX), 2)] });
    for (digest, content) in contents {
        replica.offer_part(digest, content);
    }
    replica.active().expect("the configuration is in force").clone()
}

/// Writes the store of a node with the current code.
fn write_store(folder: &Path) {
    let opened = Store::open(folder, &owner(IDENTITY)).expect("open folder");
    let compacted = partition_writes().into_iter().map(|write| (COMPACTED, write));
    let groups = compacted.chain(uncompacted_writes().into_iter().map(|write| (UNCOMPACTED, write))).collect();
    let batch = StoreWrite { groups, configuration: Some(configuration()) };
    opened.store.write(&batch).expect("write to store");
}

/// Returns the rows of a folder's store. They are compared instead of the file, whose bytes differ between runs.
fn store_rows(folder: &Path) -> Vec<Row> {
    let database = Database::open(folder.join("store.redb")).expect("open store");
    let transaction = database.begin_read().expect("begin transaction");
    let mut rows = Vec::new();
    for name in ["header", "configuration"] {
        let table = transaction.open_table(TableDefinition::<&str, &[u8]>::new(name)).expect("open table");
        for row in table.iter().expect("read rows") {
            let (key, value) = row.expect("read row");
            rows.push(Row::new(&format!("{name}/{}", key.value()), &to_hex(value.value())));
        }
    }
    for name in ["hard_states", "snapshots"] {
        let table = transaction.open_table(TableDefinition::<u32, &[u8]>::new(name)).expect("open table");
        for row in table.iter().expect("read rows") {
            let (key, value) = row.expect("read row");
            rows.push(Row::new(&format!("{name}/{}", key.value()), &to_hex(value.value())));
        }
    }
    let table = transaction.open_table(TableDefinition::<(u32, u64), &[u8]>::new("entries")).expect("open table");
    for row in table.iter().expect("read rows") {
        let (key, value) = row.expect("read row");
        let (group, index) = key.value();
        rows.push(Row::new(&format!("entries/{group}/{index}"), &to_hex(value.value())));
    }
    rows
}

/// Returns the names and contents of the replica files in a folder.
fn replica_rows(folder: &Path) -> Vec<Row> {
    let names = fs::read_dir(folder).expect("read folder").map(|file| file.expect("read folder entry").file_name());
    let mut names: Vec<String> = names.map(|name| name.into_string().expect("UTF-8 file name")).collect();
    names.retain(|name| name.starts_with("replica-"));
    names.sort();
    let row = |name: &String| Row::new(name, &to_hex(&fs::read(folder.join(name)).expect("read file")));
    names.iter().map(row).collect()
}

/// Decompresses a golden store into a folder. If golden files are being written, first replaces the golden store by the
/// one in `written`.
fn unpack_golden_store(file: &str, written: &Path, target: &Path) {
    let path = golden_path(file);
    if writes_golden() {
        fs::create_dir_all(golden_path("")).expect("create folder");
        let mut encoder = GzEncoder::new(fs::File::create(&path).expect("create file"), Compression::best());
        let store = fs::read(written.join("store.redb")).expect("read store");
        encoder.write_all(&store).and_then(|()| encoder.finish()).expect("write file");
    }
    let stored = fs::File::open(&path).unwrap_or_else(|error| panic!("{file} cannot be opened: {error}"));
    let mut unpacked = fs::File::create(target.join("store.redb")).expect("create file");
    std::io::copy(&mut GzDecoder::new(stored), &mut unpacked).expect("decompress store");
}

#[test]
fn storage_node_folder_format_is_unchanged() {
    let (written, unpacked) =
        (tempfile::tempdir().expect("create temporary folder"), tempfile::tempdir().expect("create temporary folder"));
    write_replica_folder(written.path());
    unpack_golden_store("replica-folder-store.redb.gz", written.path(), unpacked.path());
    assert_eq!(check_rows("replica-folder-store.txt", &store_rows(written.path())), store_rows(unpacked.path()));
    for row in check_rows("replica-folder-files.txt", &replica_rows(written.path())) {
        fs::write(unpacked.path().join(&row.name), golden::from_hex(&row.text)).expect("write file");
    }

    let mut opened = ReplicaFolder::open(unpacked.path(), &owner(NodeId(99)), is_job_table).expect("open folder");
    assert!(!opened.formatted && opened.damaged_path.is_none(), "the golden folder must be readable");
    assert_eq!(opened.identity, IDENTITY);
    assert_eq!(opened.groups().collect::<Vec<_>>(), vec![COMPACTED, UNCOMPACTED]);
    for (group, writes) in [(COMPACTED, jobs_writes()), (UNCOMPACTED, uncompacted_writes())] {
        assert_eq!(opened.take(group).expect("take replica").contents(), &replica_after(&writes), "group {group}");
    }
}

#[test]
fn node_store_format_is_unchanged() {
    let (written, unpacked) =
        (tempfile::tempdir().expect("create temporary folder"), tempfile::tempdir().expect("create temporary folder"));
    write_store(written.path());
    unpack_golden_store("node-store.redb.gz", written.path(), unpacked.path());
    assert_eq!(check_rows("node-store.txt", &store_rows(written.path())), store_rows(unpacked.path()));

    let opened = Store::open(unpacked.path(), &owner(NodeId(99))).expect("open folder");
    assert!(!opened.formatted && opened.damaged_path.is_none(), "the golden folder must be readable");
    assert_eq!(opened.identity, IDENTITY);
    let groups = [(COMPACTED, replica_after(&partition_writes())), (UNCOMPACTED, replica_after(&uncompacted_writes()))];
    assert_eq!(opened.persisted.groups, groups.into());
    let active = configuration();
    assert_eq!(opened.persisted.configuration, Some((active.manifest.clone(), active.contents.clone())));
}
