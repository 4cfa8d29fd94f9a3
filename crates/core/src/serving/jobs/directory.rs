//! The storing nodes, as the metadata store tells them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;

/// A storing node's record of itself. It is filed under the machine's name, so that a machine whose
/// disk was lost replaces its former identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageRecord {
    /// The machine's name.
    pub name: Arc<str>,
    /// The identity that lies on its disk.
    pub node: NodeId,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
}

/// Who founded the job table's group. It is written once, so members that came since are not in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingRecord {
    /// The first voters.
    pub voters: BTreeSet<NodeId>,
}

/// All storing nodes that are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorageDirectory {
    records: BTreeMap<Arc<str>, StorageRecord>,
    founders: BTreeSet<NodeId>,
}

impl StorageDirectory {
    /// Takes a record; one of the same machine or address gives way.
    pub fn upsert(&mut self, record: StorageRecord) {
        self.records.retain(|name, other| *name == record.name || other.address != record.address);
        self.records.insert(record.name.clone(), record);
    }

    /// A record was removed.
    pub fn remove(&mut self, name: &str) {
        self.records.remove(name);
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &StorageRecord> {
        self.records.values()
    }

    /// The record of a node.
    pub fn of_node(&self, node: NodeId) -> Option<&StorageRecord> {
        self.records.values().find(|record| record.node == node)
    }

    /// The record of a machine.
    pub fn of_machine(&self, name: &str) -> Option<&StorageRecord> {
        self.records.get(name)
    }

    /// Who founded the job table's group is known.
    pub fn set_founders(&mut self, founders: BTreeSet<NodeId>) {
        self.founders = founders;
    }

    /// Whether a node was among the first members of the job table's group: most of its members are.
    pub fn is_founder(&self, node: NodeId) -> bool {
        self.founders.contains(&node)
    }

    /// How many nodes are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
