//! Rules of the directory of storage nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::directory::{StorageDirectory, StorageRecord};
use stallmoor_core::serving::relay::item::Revision;

fn record(name: &str, node: u64, host: u8) -> StorageRecord {
    let address = SocketAddr::from(([10, 0, 0, host], 7_720));
    StorageRecord { name: Arc::from(name), node: NodeId(node), address, zone: Arc::from("a") }
}

/// Guards against a member of the group that nobody can reach any more after all nodes have started again: the store still
/// has the record of a machine that is gone, whose address the member has, and lists it after that of the member.
#[test]
fn record_of_a_machine_that_is_gone_does_not_replace_that_of_the_next_one_at_its_address() {
    let (gone, successor) = (record("storage-b", 1, 1), record("storage-a", 2, 1));
    let mut directory = StorageDirectory::default();
    directory.upsert_at(successor.clone(), Revision(20));
    directory.upsert_at(gone.clone(), Revision(10));
    assert_eq!(directory.of_node(NodeId(2)), Some(&successor));
    assert_eq!(directory.of_node(NodeId(1)), None);
}

/// Guards against a machine that can't be reached at its new address because its former one has another owner.
#[test]
fn machine_with_a_new_identity_or_address_is_known_by_its_latest_record() {
    let mut directory = StorageDirectory::default();
    directory.upsert_at(record("storage-a", 1, 1), Revision(1));
    directory.upsert_at(record("storage-b", 2, 1), Revision(2));
    directory.upsert_at(record("storage-a", 3, 2), Revision(3));
    let nodes: Vec<NodeId> = directory.records().map(|record| record.node).collect();
    assert_eq!(nodes, [NodeId(3), NodeId(2)]);
    directory.remove("storage-b");
    directory.upsert_at(record("storage-a", 4, 1), Revision(4));
    assert_eq!(directory.len(), 1);
    assert_eq!(directory.of_node(NodeId(4)).map(|record| &*record.name), Some("storage-a"));
}

proptest! {
    /// Guards against directories that differ between nodes which read the same records in different orders.
    #[test]
    fn latest_record_at_each_address_is_kept_in_any_order(
        hosts in prop::collection::vec(0_u8..4, 1..8),
        order in Just((0..8_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut directory = StorageDirectory::default();
        for index in order.into_iter().filter(|index| *index < hosts.len()) {
            let name = format!("storage-{index}");
            directory.upsert_at(record(&name, index as u64 + 1, hosts[index]), Revision(index as u64 + 1));
        }
        for host in 0..4 {
            let latest = hosts.iter().rposition(|other| *other == host).map(|index| NodeId(index as u64 + 1));
            let address = record("", 0, host).address;
            let kept = directory.records().find(|record| record.address == address).map(|record| record.node);
            prop_assert_eq!(kept, latest);
        }
    }
}
