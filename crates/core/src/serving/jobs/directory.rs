//! The storage nodes registered in the metadata store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;
use crate::serving::relay::item::Revision;

/// The registration record of a storage node. Its key is the machine name, so a machine whose disk was replaced
/// overwrites its former identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageRecord {
    /// The name of the machine.
    pub name: Arc<str>,
    /// The node identity stored on the machine's disk.
    pub node: NodeId,
    /// The address on which other nodes reach it.
    pub address: SocketAddr,
    /// The zone of the machine.
    pub zone: Arc<str>,
}

/// The initial voters of the job table's group. The record is written once, so it does not list members that joined
/// later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingRecord {
    /// The initial voters.
    pub voters: BTreeSet<NodeId>,
}

/// All known storage nodes, and the initial voters of the job table's group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorageDirectory {
    records: BTreeMap<Arc<str>, StorageRecord>,
    /// The revisions of the records that were read from the store.
    revisions: BTreeMap<Arc<str>, Revision>,
    founders: BTreeSet<NodeId>,
}

impl StorageDirectory {
    /// Adds a record, replacing records with the same machine name or address.
    pub fn upsert(&mut self, record: StorageRecord) {
        self.records.retain(|name, other| *name == record.name || other.address != record.address);
        self.records.insert(record.name.clone(), record);
    }

    /// Adds a record that was read from the store, unless another machine has taken over its address since: the record of
    /// a machine that is gone stays in the store, and a list returns it in any order.
    pub fn upsert_at(&mut self, record: StorageRecord, revision: Revision) {
        let at_address =
            self.records.values().filter(|other| other.address == record.address && other.name != record.name);
        let mut later = at_address.filter_map(|other| self.revisions.get(&other.name));
        if later.any(|other| *other > revision) {
            return self.remove(&record.name);
        }
        let name = record.name.clone();
        self.upsert(record);
        self.revisions.retain(|known, _| self.records.contains_key(known));
        self.revisions.insert(name, revision);
    }

    /// Removes the record of a machine.
    pub fn remove(&mut self, name: &str) {
        self.records.remove(name);
        self.revisions.remove(name);
    }

    /// Returns all records in the order of machine names.
    pub fn records(&self) -> impl Iterator<Item = &StorageRecord> {
        self.records.values()
    }

    /// Returns the record of a node.
    pub fn of_node(&self, node: NodeId) -> Option<&StorageRecord> {
        self.records.values().find(|record| record.node == node)
    }

    /// Returns the record of a machine.
    pub fn of_machine(&self, name: &str) -> Option<&StorageRecord> {
        self.records.get(name)
    }

    /// Sets the initial voters of the job table's group once they are known.
    pub fn set_founders(&mut self, founders: BTreeSet<NodeId>) {
        self.founders = founders;
    }

    /// Returns whether a node was an initial voter of the job table's group. Most current members usually are founders.
    pub fn is_founder(&self, node: NodeId) -> bool {
        self.founders.contains(&node)
    }

    /// Returns the number of known nodes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
