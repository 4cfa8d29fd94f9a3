//! Guards against excessive traffic, or a follower that never catches up, when its log has diverged from the leader's
//! and new entries keep being proposed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, HardState, LogIndex, MessageKind, PersistedReplica, Replica, ReplicaEffect,
    ReplicaSettings, ReplicationMessage, Snapshot, Term,
};
use stallmoor_core::time::Timestamp;

const GROUP: GroupId = GroupId(0);
const ONE_WAY_DELAY_MS: u64 = 15;
/// Time that a replica takes to process a message with entries.
const PROCESSING_TIME_MS: u64 = 12;

struct Network {
    now: u64,
    replicas: BTreeMap<NodeId, Replica>,
    busy_until: BTreeMap<NodeId, u64>,
    in_flight: VecDeque<(u64, ReplicationMessage)>,
    entry_messages: usize,
}

fn command(number: u64) -> EntryPayload {
    EntryPayload::Command(Arc::from(vec![number as u8; 20_000]))
}

/// Returns a disk with the membership entry, entries of term 1 up to index `shared`, and `divergent` entries of
/// `divergent_term`.
fn disk(shared: u64, divergent: u64, divergent_term: u64) -> PersistedReplica {
    let membership = GroupMembership::of_voters([NodeId(1), NodeId(2), NodeId(3)]);
    let mut entries = vec![Entry { term: Term(0), index: LogIndex(1), payload: EntryPayload::Membership(membership) }];
    for index in 2..=shared {
        entries.push(Entry { term: Term(1), index: LogIndex(index), payload: command(index) });
    }
    for index in shared + 1..=shared + divergent {
        entries.push(Entry { term: Term(divergent_term), index: LogIndex(index), payload: command(index + 100) });
    }
    let hard_state = HardState { term: Term(divergent_term.max(1)), voted_for: None };
    PersistedReplica { hard_state, snapshot: Snapshot::default(), entries }
}

impl Network {
    fn new(disks: [PersistedReplica; 3]) -> Self {
        let start = Timestamp::from_millis(10_000);
        let open = |(position, disk)| {
            let id = NodeId(position as u64 + 1);
            (id, Replica::new(GROUP, id, ReplicaSettings::default(), disk, start, position as u64))
        };
        let replicas = disks.into_iter().enumerate().map(open).collect();
        Self { now: 10_000, replicas, busy_until: BTreeMap::new(), in_flight: VecDeque::new(), entry_messages: 0 }
    }

    fn collect_messages(&mut self, from: NodeId) {
        let sent_at = self.now.max(self.busy_until.get(&from).copied().unwrap_or(0));
        let effects = self.replicas.get_mut(&from).map(Replica::take_effects).unwrap_or_default();
        for effect in effects {
            if let ReplicaEffect::Send(message) = effect {
                self.in_flight.push_back((sent_at + ONE_WAY_DELAY_MS, message));
            }
        }
    }

    fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            let now = Timestamp::from_millis(self.now);
            let due: Vec<ReplicationMessage> = {
                let (due, rest): (Vec<_>, Vec<_>) = self.in_flight.drain(..).partition(|(at, _)| *at <= self.now);
                self.in_flight = rest.into();
                due.into_iter().map(|(_, message)| message).collect()
            };
            for message in due {
                let to = message.to;
                if matches!(&message.kind, MessageKind::Append { entries, .. } if !entries.is_empty()) {
                    self.entry_messages += 1;
                    let busy = self.busy_until.entry(to).or_insert(0);
                    *busy = (*busy).max(self.now) + PROCESSING_TIME_MS;
                }
                if let Some(replica) = self.replicas.get_mut(&to) {
                    replica.step(message, now);
                }
                self.collect_messages(to);
            }
            for id in [NodeId(1), NodeId(2), NodeId(3)] {
                if let Some(replica) = self.replicas.get_mut(&id) {
                    replica.tick(now);
                }
                self.collect_messages(id);
            }
        }
    }

    fn leader(&self) -> NodeId {
        let leader_id = |(id, replica): (&NodeId, &Replica)| replica.is_leader().then_some(*id);
        self.replicas.iter().find_map(leader_id).expect("a leader should be elected")
    }
}

#[test]
fn a_diverged_follower_catches_up_with_few_messages_while_entries_are_proposed() {
    // Replica 3 led in term 1 and has entries that it did not replicate; replicas 1 and 2 continued in term 2.
    let mut network = Network::new([disk(200, 80, 2), disk(200, 80, 2), disk(206, 60, 1)]);
    network.run_for(4_000);
    let leader = network.leader();
    for round in 0..200 {
        let now = Timestamp::from_millis(network.now);
        if let Some(replica) = network.replicas.get_mut(&leader) {
            let _ = replica.propose(Arc::from(vec![round as u8; 20_000]), now);
        }
        network.collect_messages(leader);
        network.run_for(3);
    }
    network.run_for(6_000);
    let last = network.replicas[&leader].log().last_index();
    assert_eq!(network.replicas[&NodeId(3)].log().last_index(), last, "replica 3 has the complete log");
    assert_eq!(network.replicas[&NodeId(3)].commit(), last);
    // 400 messages replicate 200 proposals to two followers; the rest are for catching up.
    assert!(network.entry_messages < 600, "{} messages with entries", network.entry_messages);
}
