//! Checks that the store holds all writes after reopening, and that data folders that are locked, damaged or owned by
//! another node are not used.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::node::partition::PartitionState;
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, HardState, LogIndex, LogWrite, PersistedReplica, Snapshot, Term,
};
use stallmoor_storage::{FolderOwner, OpenedStore, StorageError, Store, StoreWrite};

const GROUP: GroupId = GroupId(3);

fn owner(fresh: u64) -> FolderOwner {
    FolderOwner { peer_address: "127.0.0.1:7100".to_owned(), adopt: false, new_identity: NodeId(fresh) }
}

fn open(folder: &Path, fresh: u64) -> OpenedStore {
    Store::open(folder, &owner(fresh)).expect("open folder")
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = EntryPayload::Command(Arc::from(format!("{index}-{term}").into_bytes()));
    Entry { term: Term(term), index: LogIndex(index), payload }
}

fn write_entries(count: u64) -> StoreWrite {
    let write = LogWrite {
        hard_state: Some(HardState { term: Term(2), voted_for: Some(NodeId(5)) }),
        entries: (1..=count).map(|index| entry(index, 2)).collect(),
        ..LogWrite::default()
    };
    StoreWrite { groups: vec![(GROUP, write)], configuration: None }
}

#[test]
fn an_empty_folder_gets_the_fresh_identity_and_keeps_it() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let opened = open(folder.path(), 11);
    assert!(opened.formatted);
    assert_eq!(opened.identity, NodeId(11));
    drop(opened);
    let reopened = open(folder.path(), 12);
    assert!(!reopened.formatted);
    assert_eq!(reopened.identity, NodeId(11));
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let _held = open(folder.path(), 11);
    assert!(matches!(Store::open(folder.path(), &owner(12)), Err(StorageError::Locked { .. })));
}

#[test]
fn a_folder_of_another_node_is_refused_unless_adopted() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    drop(open(folder.path(), 11));
    let other = FolderOwner { peer_address: "127.0.0.1:7999".to_owned(), ..owner(12) };
    let Err(StorageError::OwnedByOtherNode { owner: recorded_owner, .. }) = Store::open(folder.path(), &other) else {
        panic!("a folder of another node must be refused");
    };
    assert_eq!(recorded_owner, "127.0.0.1:7100");
    let adopted = Store::open(folder.path(), &FolderOwner { adopt: true, ..other.clone() }).expect("adopt folder");
    assert_eq!(adopted.identity, NodeId(11));
    drop(adopted);
    assert!(Store::open(folder.path(), &other).is_ok(), "the new owner must be recorded");
}

#[test]
fn a_damaged_file_is_set_aside_and_gets_a_new_identity() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    let opened = open(folder.path(), 11);
    opened.store.write(&write_entries(50)).expect("write to store");
    drop(opened);
    let file = folder.path().join("store.redb");
    let mut bytes = fs::read(&file).expect("read file");
    let needle = b"37-2";
    let position = bytes.windows(needle.len()).position(|window| window == needle).expect("an encoded entry");
    bytes[position] ^= 0x40;
    fs::write(&file, bytes).expect("write file");
    let reopened = open(folder.path(), 12);
    assert!(reopened.formatted);
    assert_eq!(reopened.identity, NodeId(12), "a node with a damaged store must not vote under its previous identity");
    assert!(reopened.damaged_path.is_some_and(|path| path.exists()));
    assert!(reopened.persisted.groups.is_empty());
}

#[test]
fn a_file_that_is_not_a_database_is_set_aside() {
    let folder = tempfile::tempdir().expect("create temporary folder");
    fs::write(folder.path().join("store.redb"), b"not a database").expect("write file");
    let opened = open(folder.path(), 12);
    assert!(opened.formatted && opened.damaged_path.is_some());
}

/// Returns a write for a step that is valid for the current contents of the log.
fn follow_up(current: &PersistedReplica, step: &Step) -> LogWrite {
    let last = current.entries.last().map_or(current.snapshot.index.0, |entry| entry.index.0);
    match step {
        Step::Append { count } => LogWrite {
            entries: (last + 1..=last + count).map(|index| entry(index, 4)).collect(),
            ..LogWrite::default()
        },
        Step::Overwrite { back } => {
            let from = last.saturating_sub(*back).max(current.snapshot.index.0) + 1;
            LogWrite { truncate_from: Some(LogIndex(from)), entries: vec![entry(from, 9)], ..LogWrite::default() }
        }
        Step::Compact { back } => {
            let index = last.saturating_sub(*back).max(current.snapshot.index.0);
            let membership = GroupMembership::of_voters([NodeId(1)]);
            let state = PartitionState::default().encode();
            let snapshot = Snapshot { index: LogIndex(index), term: Term(4), membership, state };
            LogWrite { snapshot: Some(snapshot), ..LogWrite::default() }
        }
        Step::Vote { term } => {
            LogWrite { hard_state: Some(HardState { term: Term(*term), voted_for: None }), ..LogWrite::default() }
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Append { count: u64 },
    Overwrite { back: u64 },
    Compact { back: u64 },
    Vote { term: u64 },
}

fn steps() -> impl Strategy<Value = Vec<(Step, bool)>> {
    let step = prop_oneof![
        (1..6_u64).prop_map(|count| Step::Append { count }),
        (0..4_u64).prop_map(|back| Step::Overwrite { back }),
        (0..4_u64).prop_map(|back| Step::Compact { back }),
        (1..9_u64).prop_map(|term| Step::Vote { term }),
    ];
    prop::collection::vec((step, prop::bool::weighted(0.2)), 1..20)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_store_matches_the_write_model(steps in steps()) {
        let folder = tempfile::tempdir().expect("create temporary folder");
        let mut opened = open(folder.path(), 11);
        let mut expected = PersistedReplica::default();
        for (step, reopen) in &steps {
            let write = follow_up(&expected, step);
            expected.write(&write);
            let batch = StoreWrite { groups: vec![(GROUP, write)], configuration: None };
            opened.store.write(&batch).expect("write to store");
            if *reopen {
                drop(opened);
                opened = open(folder.path(), 12);
                prop_assert_eq!(opened.persisted.groups.get(&GROUP).cloned().unwrap_or_default(), expected.clone());
            }
        }
    }
}
