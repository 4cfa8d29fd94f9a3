//! A follower whose log parts from the leader's must be brought into line with few messages, while new
//! entries keep coming.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, HardState, LogIndex, MessageKind, PersistedReplica, Replica, ReplicaEffect,
    ReplicaSettings, ReplicationMessage, Snapshot, Term,
};
use stallmoor_core::time::Timestamp;

const GROUP: GroupId = GroupId(0);
/// One way between two replicas, in milliseconds.
const DELAY: u64 = 15;
/// A follower takes this long for each message with entries, in milliseconds.
const WORK: u64 = 12;

struct Network {
    now: u64,
    replicas: BTreeMap<NodeId, Replica>,
    busy_until: BTreeMap<NodeId, u64>,
    under_way: VecDeque<(u64, ReplicationMessage)>,
    entry_messages: usize,
}

fn command(number: u64) -> EntryPayload {
    EntryPayload::Command(Arc::from(vec![number as u8; 20_000]))
}

/// A disk with the founding entry, `shared` entries of term 1, and `own` entries of another term.
fn disk(shared: u64, own: u64, own_term: u64) -> PersistedReplica {
    let membership = GroupMembership::of_voters([NodeId(1), NodeId(2), NodeId(3)]);
    let mut entries = vec![Entry { term: Term(0), index: LogIndex(1), payload: EntryPayload::Membership(membership) }];
    for index in 2..=shared {
        entries.push(Entry { term: Term(1), index: LogIndex(index), payload: command(index) });
    }
    for index in shared + 1..=shared + own {
        entries.push(Entry { term: Term(own_term), index: LogIndex(index), payload: command(index + 100) });
    }
    let hard_state = HardState { term: Term(own_term.max(1)), voted_for: None };
    PersistedReplica { hard_state, snapshot: Snapshot::default(), entries }
}

impl Network {
    fn new(disks: [PersistedReplica; 3]) -> Self {
        let start = Timestamp::from_millis(10_000);
        let open = |(place, disk)| {
            let id = NodeId(place as u64 + 1);
            (id, Replica::new(GROUP, id, ReplicaSettings::default(), disk, start, place as u64))
        };
        let replicas = disks.into_iter().enumerate().map(open).collect();
        Self { now: 10_000, replicas, busy_until: BTreeMap::new(), under_way: VecDeque::new(), entry_messages: 0 }
    }

    fn gather(&mut self, from: NodeId) {
        let starts = self.now.max(self.busy_until.get(&from).copied().unwrap_or(0));
        let effects = self.replicas.get_mut(&from).map(Replica::take_effects).unwrap_or_default();
        for effect in effects {
            if let ReplicaEffect::Send(message) = effect {
                self.under_way.push_back((starts + DELAY, message));
            }
        }
    }

    fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            let now = Timestamp::from_millis(self.now);
            let due: Vec<ReplicationMessage> = {
                let (due, rest): (Vec<_>, Vec<_>) = self.under_way.drain(..).partition(|(at, _)| *at <= self.now);
                self.under_way = rest.into();
                due.into_iter().map(|(_, message)| message).collect()
            };
            for message in due {
                let to = message.to;
                if matches!(&message.kind, MessageKind::Append { entries, .. } if !entries.is_empty()) {
                    self.entry_messages += 1;
                    let busy = self.busy_until.entry(to).or_insert(0);
                    *busy = (*busy).max(self.now) + WORK;
                }
                if let Some(replica) = self.replicas.get_mut(&to) {
                    replica.step(message, now);
                }
                self.gather(to);
            }
            for id in [NodeId(1), NodeId(2), NodeId(3)] {
                if let Some(replica) = self.replicas.get_mut(&id) {
                    replica.tick(now);
                }
                self.gather(id);
            }
        }
    }

    fn leader(&self) -> NodeId {
        let leads = |(id, replica): (&NodeId, &Replica)| replica.is_leader().then_some(*id);
        self.replicas.iter().find_map(leads).expect("there is a leader")
    }
}

#[test]
fn a_follower_with_another_tail_is_brought_into_line_while_entries_keep_coming() {
    // Replica 3 led in term 1 and has entries that nobody else holds; 1 and 2 went on in term 2.
    let mut network = Network::new([disk(200, 80, 2), disk(200, 80, 2), disk(206, 60, 1)]);
    network.run_for(4_000);
    let leader = network.leader();
    for round in 0..200 {
        let now = Timestamp::from_millis(network.now);
        if let Some(replica) = network.replicas.get_mut(&leader) {
            let _ = replica.propose(Arc::from(vec![round as u8; 20_000]), now);
        }
        network.gather(leader);
        network.run_for(3);
    }
    network.run_for(6_000);
    let last = network.replicas[&leader].log().last_index();
    assert_eq!(network.replicas[&NodeId(3)].log().last_index(), last, "replica 3 holds the whole log");
    assert_eq!(network.replicas[&NodeId(3)].commit(), last);
    // 200 proposals to two followers, and some messages to catch up.
    assert!(network.entry_messages < 600, "{} messages with entries", network.entry_messages);
}
