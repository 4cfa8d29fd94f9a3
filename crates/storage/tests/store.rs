//! The store against the specification of a write, and data folders that can't be used.

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
    FolderOwner { peer_address: "127.0.0.1:7100".to_owned(), adopt: false, fresh_identity: NodeId(fresh) }
}

fn open(folder: &Path, fresh: u64) -> OpenedStore {
    Store::open(folder, &owner(fresh)).expect("the folder is used")
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
fn a_blank_folder_gets_the_fresh_identity_and_keeps_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let opened = open(folder.path(), 11);
    assert!(opened.formatted);
    assert_eq!(opened.identity, NodeId(11));
    drop(opened);
    let again = open(folder.path(), 12);
    assert!(!again.formatted);
    assert_eq!(again.identity, NodeId(11));
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let _held = open(folder.path(), 11);
    assert!(matches!(Store::open(folder.path(), &owner(12)), Err(StorageError::Locked { .. })));
}

#[test]
fn a_folder_of_another_node_is_refused_unless_adopted() {
    let folder = tempfile::tempdir().expect("a folder");
    drop(open(folder.path(), 11));
    let other = FolderOwner { peer_address: "127.0.0.1:7999".to_owned(), ..owner(12) };
    let Err(StorageError::Foreign { owner: named, .. }) = Store::open(folder.path(), &other) else {
        panic!("a folder of another node must be refused");
    };
    assert_eq!(named, "127.0.0.1:7100");
    let adopted = Store::open(folder.path(), &FolderOwner { adopt: true, ..other.clone() }).expect("adopted");
    assert_eq!(adopted.identity, NodeId(11));
    drop(adopted);
    assert!(Store::open(folder.path(), &other).is_ok(), "an adopted folder stays adopted");
}

#[test]
fn a_damaged_file_is_set_aside_and_gets_a_new_identity() {
    let folder = tempfile::tempdir().expect("a folder");
    let opened = open(folder.path(), 11);
    opened.store.write(&write_entries(50)).expect("written");
    drop(opened);
    let file = folder.path().join("store.redb");
    let mut bytes = fs::read(&file).expect("the file");
    let needle = b"37-2";
    let place = bytes.windows(needle.len()).position(|window| window == needle).expect("an entry's bytes");
    bytes[place] ^= 0x40;
    fs::write(&file, bytes).expect("damaged");
    let again = open(folder.path(), 12);
    assert!(again.formatted);
    assert_eq!(again.identity, NodeId(12), "a damaged disk must not vote as the one it was");
    assert!(again.set_aside.is_some_and(|path| path.exists()));
    assert!(again.persisted.groups.is_empty());
}

#[test]
fn a_file_that_is_no_store_is_set_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join("store.redb"), b"not a database").expect("written");
    let opened = open(folder.path(), 12);
    assert!(opened.formatted && opened.set_aside.is_some());
}

/// A write that a replica could make after what is there already.
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
    fn the_disk_holds_what_was_written(steps in steps()) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut opened = open(folder.path(), 11);
        let mut expected = PersistedReplica::default();
        for (step, reopen) in &steps {
            let write = follow_up(&expected, step);
            expected.write(&write);
            let batch = StoreWrite { groups: vec![(GROUP, write)], configuration: None };
            opened.store.write(&batch).expect("written");
            if *reopen {
                drop(opened);
                opened = open(folder.path(), 12);
                prop_assert_eq!(opened.persisted.groups.get(&GROUP).cloned().unwrap_or_default(), expected.clone());
            }
        }
    }
}
