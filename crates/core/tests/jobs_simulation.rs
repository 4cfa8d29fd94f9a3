//! Simulates storage nodes on a virtual clock under power losses, lost disks, drained machines and network partitions,
//! and checks against an oracle that acknowledged data is retained. Runs the production [`JobsNode`] and
//! [`MembershipPlanner`].
//!
//! [`JobsNode`]: stallmoor_core::serving::jobs::node::JobsNode
//! [`MembershipPlanner`]: stallmoor_core::serving::jobs::members::MembershipPlanner

#[path = "support/jobs_world.rs"]
mod jobs_world;

use std::sync::Arc;

use jobs_world::{CATCH_UP_MS, Machine, World};
use rand::Rng;
use stallmoor_core::replication::LogIndex;

#[test]
fn accepted_data_survives_power_losses_lost_disks_and_partitions() {
    for seed in 1..=24 {
        let mut world = World::new(seed, 3 + seed % 2);
        world.run_for(3_000);
        for _ in 0..8 {
            world.inject_fault();
            let pause = world.random.random_range(200..3_000);
            world.run_for(pause);
        }
        world.check();
    }
}

#[test]
fn group_of_two_survives_the_loss_of_either_disk() {
    for seed in 1..=12 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        world.drain_one();
        assert_eq!(world.store.completed.len(), 1, "the machine was drained");
        world.run_for(200);
        let name = world.random_machine();
        world.lose_disk(&name, 2_000);
        world.run_for(6_000);
        world.check();
    }
}

#[test]
fn lost_disk_is_replaced_within_the_catch_up_time() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        let first = world.random_machine();
        world.lose_disk(&first, 1_000);
        world.run_for(1_000 + CATCH_UP_MS);
        let others: Vec<String> = world.machines.keys().filter(|name| **name != first).cloned().collect();
        let second = others[seed as usize % others.len()].clone();
        world.lose_disk(&second, 1_000);
        world.run_for(8_000);
        world.check();
    }
}

#[test]
fn two_disks_lost_at_once_are_tolerated_if_configured() {
    for seed in 1..=24 {
        let mut world = World::tolerating(2, seed, 6 + seed % 3);
        world.run_for(3_000);
        for _ in 0..6 {
            world.inject_fault();
            let pause = world.random.random_range(200..3_000);
            world.run_for(pause);
        }
        world.check();
    }
}

#[test]
fn two_lost_disks_during_a_power_loss_of_all_others_lose_nothing() {
    for seed in 1..=16 {
        let mut world = World::tolerating(2, seed, 7);
        world.run_for(3_000);
        for _ in 0..2 {
            let name = world.random_machine();
            world.lose_disk(&name, 1_000);
        }
        for name in world.machines.keys().cloned().collect::<Vec<_>>() {
            if world.machines[&name].process.is_some() {
                world.lose_power(&name, 1_000);
            }
        }
        world.run_for(6_000);
        world.check();
    }
}

/// A follower that was unreachable for a moment must not be sent the whole state because the leader has just compacted
/// its log.
#[test]
fn slightly_lagging_followers_need_no_snapshot() {
    for seed in 1..=2 {
        let mut world = World::new(seed, 3);
        world.run_for(2_000);
        world.body_bytes = 60_000;
        let now = world.time();
        let follows = |machine: &Machine| machine.process.as_ref().is_some_and(|process| !process.node.may_answer(now));
        let follower_entry = world.machines.iter().find(|(_, machine)| follows(machine));
        let follower = follower_entry.map(|(name, _)| name.clone()).expect("there are two followers");
        for _ in 0..14 {
            world.machines.get_mut(&follower).expect("the machine exists").partitioned_until = world.now + 600;
            world.run_for(1_000);
        }
        let replicas = world.machines.values().filter_map(|machine| machine.process.as_ref());
        let compacted = replicas.filter(|process| process.node.replica().log().snapshot().index > LogIndex(0));
        assert_eq!(compacted.count(), 3, "every replica has compacted its log");
        assert_eq!(world.snapshots_sent, 0);
    }
}

#[test]
fn machine_is_not_drained_if_too_few_replicas_would_remain() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        world.drain_one();
        assert_eq!(world.store.completed.len(), 1, "two replicas tolerate the loss of one");
        world.drain_one();
        assert_eq!(world.store.completed.len(), 1, "a single replica would not");
        let name = world.random_machine();
        world.lose_disk(&name, 2_000);
        world.run_for(6_000);
        world.check();
    }
}

/// With all remaining machines to be drained, leadership must not move back and forth between them: each change
/// restarts the items and drops the connections to workers.
#[test]
fn leadership_is_stable_while_all_members_are_drained() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        let names: Vec<String> = world.machines.keys().cloned().collect();
        world.drained.extend(names.iter().map(|name| Arc::from(name.as_str())));
        world.run_for(2_000);
        let term = |world: &World| {
            let processes = world.machines.values().filter_map(|machine| machine.process.as_ref());
            processes.map(|process| process.node.replica().term().0).max()
        };
        let before = term(&world);
        world.run_for(10_000);
        assert_eq!(term(&world), before, "seed {seed}");
        // New machines that are not drained take over all replicas.
        for _ in 0..3 {
            let name = world.add_machine();
            world.start(&name);
        }
        world.run_for(20_000);
        for name in &names {
            assert!(
                world.store.completed.iter().any(|machine| **machine == **name),
                "{name} was not drained, seed {seed}"
            );
        }
        world.check();
    }
}

/// Lets the two members of a pair compact their logs, each at an index of its own.
fn compact_pair(world: &mut World) {
    world.drain_one();
    assert_eq!(world.store.completed.len(), 1, "the machine was drained");
    world.body_bytes = 60_000;
    // A member that was restarted compacts at another index than the other one.
    for _ in 0..8 {
        let name = world.random_machine();
        world.lose_power(&name, 300);
        world.run_for(2_500);
    }
    world.body_bytes = 200;
    let replicas = world.machines.values().filter_map(|machine| machine.process.as_ref());
    let snapshots: Vec<LogIndex> = replicas.map(|process| process.node.replica().log().snapshot().index).collect();
    assert!(snapshots.iter().all(|index| *index > LogIndex(0)), "each replica has compacted its log: {snapshots:?}");
    world.run_for(6_000);
}

/// Guards against a pair that can't be identified once its members have compacted the log, so that the remaining one does
/// not continue after the other one is lost.
#[test]
fn pair_survives_the_loss_of_its_leader_after_its_logs_were_compacted() {
    for seed in 1..=12 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        compact_pair(&mut world);
        let leader = world.leaders().first().cloned().expect("the pair has a leader");
        world.lose_disk(&leader, 2_000);
        world.run_for(8_000);
        world.check();
    }
}

/// The same after both members were restarted, so that they know the pair from their snapshots only.
#[test]
fn restarted_pair_survives_the_loss_of_its_leader_after_its_logs_were_compacted() {
    for seed in 1..=12 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        compact_pair(&mut world);
        for name in world.machines.keys().cloned().collect::<Vec<_>>() {
            if world.machines[&name].process.is_some() {
                world.lose_power(&name, 500);
            }
        }
        world.run_for(6_000);
        let leader = world.leaders().first().cloned().expect("the pair has a leader");
        world.lose_disk(&leader, 2_000);
        world.run_for(8_000);
        world.check();
    }
}

/// Guards against removing the voter of a drained machine while the other voter that remains is lost: the removal could
/// not be committed, and no leader would be elected again.
#[test]
fn disk_lost_while_a_machine_is_drained_loses_nothing() {
    for seed in 1..=32 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        let drained = world.random_machine();
        let lost = world.machines.keys().find(|name| **name != drained).cloned().expect("there are others");
        world.drained.push(Arc::from(drained.as_str()));
        let pause = world.random.random_range(0..400);
        world.run_for(pause);
        world.lose_disk(&lost, 2_000);
        world.run_for(12_000);
        world.check();
    }
}

/// Requests that a machine be drained, at most so many that the rest can hold the group. It is removed once it is drained.
fn drain_if_possible(world: &mut World) {
    let kept = world.machines.values().filter(|machine| !machine.removed).count();
    let pending = world.drained.len() - world.store.completed.len();
    let least = if world.tolerated == 1 { 2 } else { 2 * world.tolerated + 1 };
    if kept > least && pending == 0 {
        let name = world.random_machine();
        world.drained.push(Arc::from(name.as_str()));
    }
}

fn remove_drained(world: &mut World) {
    for name in world.store.completed.clone() {
        let machine = world.machines.get_mut(&*name).expect("the machine exists");
        machine.process = None;
        machine.starts_at = None;
        machine.removed = true;
    }
}

/// Guards against losing accepted jobs when disks are lost, machines drained, logs compacted and members restarted or
/// partitioned in any order.
fn draw_events_in_any_order(tolerated: usize, machines: u64, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut world = World::tolerating(tolerated, seed, machines);
        world.run_for(3_000);
        for _ in 0..7 {
            match world.random.random_range(0..8) {
                0 | 1 => drain_if_possible(&mut world),
                2 | 3 if world.can_lose_disk() => {
                    let name = world.random_machine();
                    world.lose_disk(&name, 1_500);
                }
                4 | 5 => {
                    world.body_bytes = 60_000;
                    world.run_for(5_000);
                    world.body_bytes = 200;
                }
                6 => {
                    let name = world.random_machine();
                    world.lose_power(&name, 600);
                }
                7 => {
                    let name = world.random_machine();
                    let until = world.now + 3_000;
                    world.machines.get_mut(&name).expect("the machine exists").partitioned_until = until;
                }
                _ => {}
            }
            let pause = world.random.random_range(0..1_500);
            world.run_for(pause);
            remove_drained(&mut world);
        }
        println!("seed {seed} is checked");
        world.check();
    }
}

#[test]
fn events_in_any_order_lose_nothing_on_three_machines() {
    draw_events_in_any_order(1, 3, 0..40);
}

#[test]
fn events_in_any_order_lose_nothing_on_four_machines() {
    draw_events_in_any_order(1, 4, 100..140);
}

#[test]
fn events_in_any_order_lose_nothing_on_five_machines() {
    draw_events_in_any_order(2, 5, 200..220);
}

#[test]
fn events_in_any_order_lose_nothing_on_seven_machines() {
    draw_events_in_any_order(2, 7, 300..320);
}
