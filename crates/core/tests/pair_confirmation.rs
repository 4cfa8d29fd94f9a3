//! A record of the pair may be read from a node that has not reached the metadata store for long.

use std::sync::Arc;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, HardState, LogIndex, PersistedReplica, Replica, ReplicaSettings, Term,
};
use stallmoor_core::serving::jobs::directory::{StorageDirectory, StorageRecord};
use stallmoor_core::serving::jobs::members::{MembershipAction, MembershipPlanner};
use stallmoor_core::serving::jobs::pair::{PairRecord, PairState, StoredPair};
use stallmoor_core::time::Timestamp;

const OWN: NodeId = NodeId(2);
const OTHER: NodeId = NodeId(1);
const REVISION: u64 = 40;

fn pair_of(state: PairState, revision: u64) -> StoredPair {
    let record = PairRecord { index: LogIndex(1), voters: [OTHER, OWN].into(), state };
    StoredPair { record: Some(record), revision }
}

/// A member of a pair that has restarted.
fn replica() -> Replica {
    let membership = GroupMembership::of_voters([OTHER, OWN]);
    let entry = Entry { term: Term(1), index: LogIndex(1), payload: EntryPayload::Membership(membership) };
    let hard_state = HardState { term: Term(1), voted_for: None };
    let persisted = PersistedReplica { hard_state, entries: vec![entry], ..PersistedReplica::default() };
    Replica::new(GroupId(0), OWN, ReplicaSettings::default(), persisted, Timestamp::from_millis(0), 1)
}

fn directory() -> StorageDirectory {
    let mut directory = StorageDirectory::default();
    for node in [OTHER, OWN] {
        let (name, zone) = (Arc::from(format!("storage-{}", node.0)), Arc::from("a"));
        let address = ([127, 0, 0, 1], 7_720 + node.0 as u16).into();
        directory.upsert(StorageRecord { name, node, address, zone });
    }
    directory
}

fn plan(planner: &mut MembershipPlanner, replica: &Replica, millis: u64) -> Vec<MembershipAction> {
    planner.plan(replica, false, &directory(), |_| true, Timestamp::from_millis(millis))
}

/// Guards against a member that continues alone by a record that has been replaced since, while the other one, which reads
/// the present record, becomes the survivor.
#[test]
fn member_writes_a_record_that_names_it_as_the_survivor_once_more_before_it_continues_alone() {
    let replica = replica();
    let mut planner = MembershipPlanner::new(OWN, 1, Timestamp::from_millis(0));
    planner.apply_pair_record(pair_of(PairState::Survived(OWN), REVISION));
    let actions = plan(&mut planner, &replica, 200);
    let [MembershipAction::WritePair { record, revision: REVISION }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(record.state, PairState::Survived(OWN));
    assert_eq!(plan(&mut planner, &replica, 400), [], "a write is in progress");

    planner.finish_pair_write(Some(pair_of(PairState::Whole, REVISION + 7)));
    assert_eq!(plan(&mut planner, &replica, 600), [], "the pair is whole");
}

/// The other side: a member whose record is the present one continues.
#[test]
fn member_continues_alone_once_the_record_that_names_it_is_confirmed() {
    let replica = replica();
    let mut planner = MembershipPlanner::new(OWN, 1, Timestamp::from_millis(0));
    planner.apply_pair_record(pair_of(PairState::Survived(OWN), REVISION));
    assert_eq!(plan(&mut planner, &replica, 200).len(), 1);
    planner.finish_pair_write(None);
    assert_eq!(plan(&mut planner, &replica, 400).len(), 1, "the store did not answer");
    planner.finish_pair_write(Some(pair_of(PairState::Survived(OWN), REVISION + 1)));
    assert_eq!(plan(&mut planner, &replica, 600), [MembershipAction::ContinueAlone]);
    planner.apply_pair_record(pair_of(PairState::Survived(OWN), REVISION + 1));
    assert_eq!(plan(&mut planner, &replica, 800), [MembershipAction::ContinueAlone], "the view has caught up");
}
