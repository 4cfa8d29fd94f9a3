//! Connects the replica to its disk and its peers.
//!
//! Owns the replica, the queue of its effects, and the write that blocks the queue. Invariant: effects are executed in
//! the order in which the replica returned them, and none before all preceding writes are durable. Nothing is sent,
//! applied or acknowledged that a crash could undo. Messages that claim only what is durable are sent at once
//! ([`JobsEffect::SendNow`]), so that heartbeats don't wait for the disk.
//!
//! The disk thread must report each write, and the service must call [`ReplicaDriver::advance`] after each event that
//! may unblock the queue.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_core::replication::{ReplicationMessage, Snapshot};
use stallmoor_core::serving::jobs::command::Submission;
use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_core::serving::jobs::node::{JobsChange, JobsEffect, JobsNode, SnapshotSource};
use tokio::sync::mpsc;

use crate::fleet::fleet_view::FleetView;
use crate::observe::journal::{Field, record};
use crate::peers::peer_link::PeerLinks;
use crate::storage::disk_writer::{DiskWriter, WriteCompletion, WriteNumber};

/// The replica, its disk and its links to peers.
pub(super) struct ReplicaDriver {
    node: JobsNode,
    disk: DiskWriter,
    budget: DiskBudget,
    links: PeerLinks,
    view: Arc<FleetView>,
    /// Unbounded: at most one snapshot is being encoded.
    snapshots: mpsc::UnboundedSender<Snapshot>,
    /// Effects that wait for the disk, in order. Needs no separate limit: during a write, proposals are bounded by the
    /// replica (`max_uncommitted_entries`) and messages of peers by the queue of the peer listener.
    queue: VecDeque<JobsEffect>,
    /// The write that blocks the queue.
    awaited_write: Option<WriteNumber>,
}

impl ReplicaDriver {
    pub(super) fn new(
        node: JobsNode,
        links: PeerLinks,
        disk: DiskWriter,
        budget: DiskBudget,
        view: Arc<FleetView>,
        snapshots: mpsc::UnboundedSender<Snapshot>,
    ) -> Self {
        Self { node, disk, budget, links, view, snapshots, queue: VecDeque::new(), awaited_write: None }
    }

    pub(super) fn node(&self) -> &JobsNode {
        &self.node
    }

    /// Returns the replica for a mutating call. The effects of the call must be passed to [`ReplicaDriver::enqueue`]
    /// before the next one.
    pub(super) fn node_mut(&mut self) -> &mut JobsNode {
        &mut self.node
    }

    /// Returns whether the disk has capacity for a job.
    pub(super) fn admits(&self, submission: &Submission) -> bool {
        self.budget.admits(submission, &self.node)
    }

    /// Returns whether all effects are executed and all writes are durable.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.awaited_write.is_none()
    }

    /// Appends effects to the queue. Sends the messages that need not wait for the disk.
    pub(super) fn enqueue(&mut self, effects: Vec<JobsEffect>) {
        for effect in effects {
            match effect {
                JobsEffect::SendNow(message) => self.send(message),
                JobsEffect::EncodeSnapshot(source) => self.encode_snapshot(source),
                ordered => self.queue.push_back(ordered),
            }
        }
    }

    /// Executes effects until one applies entries, and returns the resulting changes. Returns `None` if the queue is
    /// empty or waits for the disk.
    pub(super) fn advance(&mut self) -> Option<Vec<JobsChange>> {
        while self.awaited_write.is_none() {
            match self.queue.pop_front()? {
                JobsEffect::Persist(write) => self.awaited_write = Some(self.disk.write(write)),
                JobsEffect::Send(message) | JobsEffect::SendNow(message) => self.send(message),
                JobsEffect::EncodeSnapshot(source) => self.encode_snapshot(source),
                JobsEffect::Restore(snapshot) => self.restore(&snapshot),
                JobsEffect::ApplyUpTo(index) => {
                    let now = self.view.clock.now();
                    return Some(self.node.apply_up_to(index, now));
                }
            }
        }
        None
    }

    /// Records that no process listens at the address of a replica any more.
    pub(super) fn on_process_ended(&mut self, address: SocketAddr) {
        let storage = self.view.storage();
        let ended: Vec<NodeId> =
            storage.records().filter(|record| record.address == address).map(|record| record.node).collect();
        drop(storage);
        ended.into_iter().for_each(|node| self.node.record_process_ended(node));
    }

    /// Records that writes are durable, which may unblock the queue.
    pub(super) fn on_written(&mut self, written: WriteCompletion) {
        self.budget.set_used(written.bytes);
        if self.awaited_write.is_some_and(|awaited| awaited <= written.number) {
            self.awaited_write = None;
            self.node.record_durable();
        }
    }

    /// Encodes a snapshot on a thread of its own: with a large table it takes so long that heartbeats would be late.
    fn encode_snapshot(&self, source: SnapshotSource) {
        let snapshots = self.snapshots.clone();
        let encode = move || {
            // The receiver is dropped only when the process ends.
            let _ = snapshots.send(source.encode());
        };
        tokio::task::spawn_blocking(encode);
    }

    /// Sends a message to another replica. Drops it if the address is unknown; the leader retransmits it later.
    fn send(&self, message: ReplicationMessage) {
        let address = self.view.storage().of_node(message.to).map(|record| record.address);
        if let Some(address) = address {
            self.links.send(address, &PeerMessage::Replication(message));
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match self.node.restore(snapshot) {
            Ok(()) => record(LogEvent::SnapshotInstalled, &[Field::number("index", snapshot.index.0)]),
            // The snapshot is already on disk and this version will refuse to start from it; the log line explains why.
            Err(unreadable) => record(LogEvent::RecordUnreadable, &[Field::text("detail", unreadable)]),
        }
    }
}
