//! One replica against its disk and its peers.
//!
//! It owns the replica, the queue of its effects, and the write that the head of the queue waits for. The invariant:
//! effects are carried out in the order in which the replica gave them, and none before all writes ahead of it are
//! durable. So nothing is sent, applied or answered that a crash could take back.
//!
//! It relies on the disk's thread to report each write, and on the service to call [`ReplicaDriver::advance`] after
//! whatever may have let the queue move.

use std::collections::VecDeque;
use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_core::replication::{ReplicationMessage, Snapshot};
use stallmoor_core::serving::jobs::command::Submission;
use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_core::serving::jobs::node::{JobsChange, JobsEffect, JobsNode};

use crate::fleet::fleet_view::FleetView;
use crate::observe::journal::{Field, record};
use crate::peers::peer_link::PeerLinks;
use crate::storage::disk_writer::{DiskWriter, WriteNumber, Written};

/// The replica, its disk and its links.
pub(super) struct ReplicaDriver {
    node: JobsNode,
    disk: DiskWriter,
    budget: DiskBudget,
    links: PeerLinks,
    view: Arc<FleetView>,
    /// Effects that wait for the disk, in order. No bound of its own: while a write is under way, what is proposed is
    /// bounded by the replica (`max_uncommitted_entries`), and what peers send by the queue of the peers' listener.
    queue: VecDeque<JobsEffect>,
    /// The write that the head of the queue waits for.
    awaited_write: Option<WriteNumber>,
}

impl ReplicaDriver {
    pub(super) fn new(node: JobsNode, id: NodeId, disk: DiskWriter, budget: DiskBudget, view: Arc<FleetView>) -> Self {
        let links = PeerLinks::new(id);
        Self { node, disk, budget, links, view, queue: VecDeque::new(), awaited_write: None }
    }

    /// The replica.
    pub(super) fn node(&self) -> &JobsNode {
        &self.node
    }

    /// The replica, to call. Effects that it gives go to [`ReplicaDriver::enqueue`] before any other call.
    pub(super) fn node_mut(&mut self) -> &mut JobsNode {
        &mut self.node
    }

    /// Whether the disk has room for a job.
    pub(super) fn admits(&self, submission: &Submission) -> bool {
        self.budget.admits(submission, &self.node)
    }

    /// Whether nothing waits for the disk.
    pub(super) fn is_settled(&self) -> bool {
        self.queue.is_empty() && self.awaited_write.is_none()
    }

    /// Adds effects behind those that wait.
    pub(super) fn enqueue(&mut self, effects: Vec<JobsEffect>) {
        self.queue.extend(effects);
    }

    /// Carries out effects until one has applied entries, and returns what that changed. `None` once the rest waits
    /// for the disk, or nothing is left.
    pub(super) fn advance(&mut self) -> Option<Vec<JobsChange>> {
        while self.awaited_write.is_none() {
            match self.queue.pop_front()? {
                JobsEffect::Persist(write) => self.awaited_write = Some(self.disk.write(write)),
                JobsEffect::Send(message) => self.send(message),
                JobsEffect::Restore(snapshot) => self.restore(&snapshot),
                JobsEffect::ApplyUpTo(index) => {
                    let now = self.view.clock.now();
                    return Some(self.node.apply_up_to(index, now));
                }
            }
        }
        None
    }

    /// The disk has come that far.
    pub(super) fn on_written(&mut self, written: Written) {
        self.budget.set_used(written.bytes);
        if self.awaited_write.is_some_and(|awaited| awaited <= written.number) {
            self.awaited_write = None;
        }
    }

    /// Sends to another replica. One whose address isn't known yet gets the message again by the resend of its leader.
    fn send(&self, message: ReplicationMessage) {
        let address = self.view.storage().of_node(message.to).map(|record| record.address);
        if let Some(address) = address {
            self.links.send(address, &PeerMessage::Replication(message));
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match self.node.restore(snapshot) {
            Ok(()) => record(LogEvent::SnapshotInstalled, &[Field::number("index", snapshot.index.0)]),
            // The snapshot is on disk already: a start of this version refuses it, and the line says why.
            Err(unreadable) => record(LogEvent::RecordUnreadable, &[Field::text("detail", unreadable)]),
        }
    }
}
