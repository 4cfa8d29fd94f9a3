//! Checks that a replica's files hold all durable writes after reopening, and that torn or damaged files are detected.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, HardState, LogIndex, LogWrite, PersistedReplica, Snapshot, Term,
};
use stallmoor_storage::{FolderOwner, OpenedReplica, ReplicaFolder, ReplicaLog, Store, StoreWrite, list_groups};

const GROUP: GroupId = GroupId(3);

fn entry(index: u64, term: u64) -> Entry {
    let payload = EntryPayload::Command(Arc::from(format!("{index}-{term}").into_bytes()));
    Entry { term: Term(term), index: LogIndex(index), payload }
}

fn append(from: u64, to: u64) -> LogWrite {
    LogWrite { entries: (from..=to).map(|index| entry(index, 1)).collect(), ..LogWrite::default() }
}

fn snapshot(index: u64, bytes: usize) -> LogWrite {
    let membership = GroupMembership::of_voters([NodeId(1), NodeId(2)]);
    let state: Arc<[u8]> = Arc::from(vec![b'x'; bytes]);
    let snapshot = Snapshot { index: LogIndex(index), term: Term(1), membership, state };
    LogWrite { snapshot: Some(snapshot), ..LogWrite::default() }
}

fn create(folder: &Path) -> ReplicaLog {
    ReplicaLog::create(folder, GROUP, PersistedReplica::default()).expect("create replica")
}

fn reopen(folder: &Path) -> ReplicaLog {
    match ReplicaLog::open(folder, GROUP).expect("open replica") {
        OpenedReplica::Valid(log) => *log,
        OpenedReplica::Missing => panic!("the replica has no files"),
        OpenedReplica::Damaged => panic!("the replica files are damaged"),
    }
}

fn files(folder: &Path, kind: &str) -> Vec<PathBuf> {
    let paths = fs::read_dir(folder).expect("read folder").map(|file| file.expect("read folder entry").path());
    let mut paths: Vec<PathBuf> = paths.filter(|path| path.extension().is_some_and(|found| found == kind)).collect();
    paths.sort();
    paths
}

#[test]
fn a_replica_without_files_is_missing_and_groups_are_listed() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    assert!(matches!(ReplicaLog::open(folder.path(), GROUP), Ok(OpenedReplica::Missing)));
    let _one = create(folder.path());
    let _other = ReplicaLog::create(folder.path(), GroupId(7), PersistedReplica::default()).expect("create replica");
    assert_eq!(list_groups(folder.path()).expect("list groups"), vec![GROUP, GroupId(7)]);
}

#[test]
fn a_torn_record_is_truncated_and_appends_continue() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let mut log = create(folder.path());
    log.write(&[append(1, 3)]).expect("write to log");
    let path = files(folder.path(), "log").pop().expect("a log file");
    let valid_prefix = fs::read(&path).expect("read file");
    log.write(&[append(4, 6)]).expect("write to log");
    drop(log);
    let complete = fs::read(&path).expect("read file");
    for length in valid_prefix.len()..complete.len() {
        fs::write(&path, &complete[..length]).expect("write file");
        let mut log = reopen(folder.path());
        assert_eq!(log.contents().entries.len(), 3, "{length} bytes");
        log.write(&[append(4, 4)]).expect("write to log");
        assert_eq!(reopen(folder.path()).contents().entries.len(), 4);
    }
    let mut damaged = complete.clone();
    damaged[valid_prefix.len() + 14] ^= 1;
    fs::write(&path, &damaged).expect("write file");
    assert_eq!(reopen(folder.path()).contents().entries.len(), 3);
}

#[test]
fn an_incomplete_generation_falls_back_to_the_previous_one() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let mut log = create(folder.path());
    log.write(&[append(1, 9)]).expect("write to log");
    let earlier = files(folder.path(), "log").pop().expect("a log file");
    let saved = fs::read(&earlier).expect("read file");
    log.write(&[snapshot(5, 100)]).expect("write to log");
    log.finish_snapshot().expect("settle log");
    drop(log);
    assert!(!earlier.exists(), "the previous generation must be removed");
    // Power failure before the new files were synced: the previous log still exists and the new one is torn.
    let newer = files(folder.path(), "log").pop().expect("a log file");
    let complete = fs::read(&newer).expect("read file");
    fs::write(&earlier, &saved).expect("write file");
    fs::write(&newer, &complete[..complete.len() / 2]).expect("write file");
    let log = reopen(folder.path());
    assert_eq!(log.contents().snapshot.index, LogIndex(0));
    assert_eq!(log.contents().entries.len(), 9);
    assert_eq!(files(folder.path(), "log"), vec![earlier]);
}

#[test]
fn a_log_without_its_snapshot_is_damaged() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let mut log = create(folder.path());
    log.write(&[append(1, 9)]).expect("write to log");
    log.write(&[snapshot(5, 100)]).expect("write to log");
    log.finish_snapshot().expect("settle log");
    drop(log);
    fs::remove_file(files(folder.path(), "snapshot").pop().expect("a snapshot file")).expect("remove file");
    assert!(matches!(ReplicaLog::open(folder.path(), GROUP), Ok(OpenedReplica::Damaged)));
}

#[test]
fn at_most_two_snapshots_are_on_disk() {
    const STATE: usize = 200_000;
    let folder = tempfile::tempdir().expect("create temporary folder");
    let mut log = create(folder.path());
    for round in 0..6 {
        log.write(&[append(round * 10 + 1, round * 10 + 10)]).expect("write to log");
        log.write(&[snapshot(round * 10 + 10, STATE)]).expect("write to log");
        assert!(files(folder.path(), "snapshot").len() <= 2);
        log.finish_snapshot().expect("settle log");
        assert_eq!(files(folder.path(), "snapshot").len(), 1);
        assert_eq!(files(folder.path(), "log").len(), 1);
    }
    assert_eq!(reopen(folder.path()).contents().snapshot.state.len(), STATE);
}

#[derive(Clone, Debug)]
enum Step {
    Append(u64),
    Vote(u64),
    Truncate(u64),
    Snapshot(u64),
    /// Replaces the whole log by a snapshot from the leader.
    Install,
    Settle,
    Reopen,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_u64..6).prop_map(Step::Append),
        1 => (1_u64..9).prop_map(Step::Vote),
        1 => (1_u64..4).prop_map(Step::Truncate),
        1 => (1_u64..4).prop_map(Step::Snapshot),
        1 => Just(Step::Install),
        1 => Just(Step::Settle),
        1 => Just(Step::Reopen),
    ]
}

fn step_write(step: &Step, model: &PersistedReplica) -> Option<LogWrite> {
    let first = model.snapshot.index.0 + 1;
    let last = model.entries.last().map_or(model.snapshot.index.0, |entry| entry.index.0);
    match step {
        Step::Append(count) => Some(append(last + 1, last + count)),
        Step::Vote(term) => {
            let hard_state = Some(HardState { term: Term(*term), voted_for: Some(NodeId(*term)) });
            Some(LogWrite { hard_state, ..LogWrite::default() })
        }
        Step::Truncate(back) if last >= first + back => {
            Some(LogWrite { truncate_from: Some(LogIndex(last + 1 - back)), ..LogWrite::default() })
        }
        Step::Snapshot(back) if last >= first + back => Some(snapshot(last - back, 64)),
        Step::Install => Some(LogWrite { truncate_from: Some(LogIndex(0)), ..snapshot(last + 3, 64) }),
        _ => None,
    }
}

/// Returns whether reopened files match the model. If a snapshot taken by the replica itself is not durable yet, the
/// files must have all entries that it covers instead.
fn matches_model(found: &PersistedReplica, model: &PersistedReplica) -> bool {
    let behind = found.entries.iter().filter(|entry| entry.index <= model.snapshot.index).count() as u64;
    let follows = found.entries.iter().filter(|entry| entry.index > model.snapshot.index);
    found.hard_state == model.hard_state
        && found.snapshot.index.0 + behind == model.snapshot.index.0
        && follows.eq(&model.entries)
        && (behind > 0 || found.snapshot == model.snapshot)
}

proptest! {
    /// Any sequence of writes, snapshots and restarts leaves the files equivalent to the in-memory model.
    #[test]
    fn files_match_the_write_model(steps in proptest::collection::vec(step(), 1..40)) {
        let folder = tempfile::tempdir().expect("create temporary folder");
        let mut model = PersistedReplica::default();
        let mut log = create(folder.path());
        for step in &steps {
            if matches!(step, Step::Reopen) {
                drop(log);
                log = reopen(folder.path());
                prop_assert!(matches_model(log.contents(), &model), "{:?} for {:?}", log.contents(), model);
                model = log.contents().clone();
            } else if matches!(step, Step::Settle) {
                log.finish_snapshot().expect("settle log");
            } else if let Some(write) = step_write(step, &model) {
                model.write(&write);
                log.write(&[write]).expect("write to log");
            }
            prop_assert_eq!(log.contents(), &model);
        }
        drop(log);
        let reopened = reopen(folder.path());
        prop_assert!(matches_model(reopened.contents(), &model));
    }
}

fn owner(fresh: u64) -> FolderOwner {
    FolderOwner { peer_address: "127.0.0.1:7100".to_owned(), adopt: false, new_identity: NodeId(fresh) }
}

fn open_folder(folder: &Path, fresh: u64) -> ReplicaFolder {
    ReplicaFolder::open(folder, &owner(fresh), |_| true).expect("open folder")
}

#[test]
fn a_reopened_folder_has_its_identity_and_replicas() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let mut opened = open_folder(folder.path(), 11);
    assert!(opened.formatted);
    opened.take(GROUP).expect("take replica").write(&[append(1, 3)]).expect("write to log");
    drop(opened);
    let mut reopened = open_folder(folder.path(), 12);
    assert!(!reopened.formatted);
    assert_eq!(reopened.identity, NodeId(11));
    assert_eq!(reopened.groups().collect::<Vec<_>>(), vec![GROUP]);
    assert_eq!(reopened.take(GROUP).expect("take replica").contents().entries.len(), 3);
}

#[test]
fn a_damaged_replica_resets_the_folder_identity() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let mut opened = open_folder(folder.path(), 11);
    opened.take(GROUP).expect("take replica").write(&[append(1, 3)]).expect("write to log");
    drop(opened);
    fs::write(files(folder.path(), "log").pop().expect("a log file"), b"not a log").expect("write file");
    let mut reopened = open_folder(folder.path(), 12);
    assert_eq!(reopened.identity, NodeId(12));
    assert!(reopened.damaged_path.as_ref().is_some_and(|aside| aside.exists()));
    assert!(reopened.take(GROUP).expect("take replica").contents().entries.is_empty());
}

#[test]
fn replicas_without_an_identity_are_discarded() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let mut opened = open_folder(folder.path(), 11);
    opened.take(GROUP).expect("take replica").write(&[append(1, 3)]).expect("write to log");
    drop(opened);
    fs::remove_file(files(folder.path(), "redb").pop().expect("a store file")).expect("remove file");
    let mut reopened = open_folder(folder.path(), 12);
    assert_eq!(reopened.identity, NodeId(12));
    assert!(reopened.take(GROUP).expect("take replica").contents().entries.is_empty());
}

#[test]
fn replicas_are_migrated_from_the_store() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let opened = Store::open(folder.path(), &owner(11)).expect("open folder");
    let write = StoreWrite { groups: vec![(GROUP, append(1, 3))], configuration: None };
    opened.store.write(&write).expect("write to store");
    drop(opened);
    for _ in 0..2 {
        let mut reopened = open_folder(folder.path(), 12);
        assert_eq!(reopened.identity, NodeId(11));
        assert_eq!(reopened.take(GROUP).expect("take replica").contents().entries.len(), 3);
    }
    let store = Store::open(folder.path(), &owner(11)).expect("open folder");
    assert!(store.persisted.groups.is_empty(), "the store must not retain a copy");
}

#[test]
fn an_installed_snapshot_is_durable_when_write_returns() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let mut log = create(folder.path());
    log.write(&[append(1, 3)]).expect("write to log");
    let install = LogWrite { truncate_from: Some(LogIndex(0)), ..snapshot(9, 100) };
    log.write(&[install, append(10, 12)]).expect("write to log");
    let saved = files(folder.path(), "log").into_iter().chain(files(folder.path(), "snapshot"));
    let copy = tempfile::tempdir().expect("create temporary folder");
    for path in saved {
        fs::copy(&path, copy.path().join(path.file_name().expect("file name"))).expect("copy file");
    }
    let copied = reopen(copy.path());
    assert_eq!(copied.contents().snapshot.index, LogIndex(9));
    assert_eq!(copied.contents().entries.len(), 3);
}
