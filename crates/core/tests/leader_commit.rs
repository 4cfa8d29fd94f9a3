//! Guards against a leader that keeps its place while it can't commit anything, and against one that is deposed in vain.
//! Storage nodes on a virtual clock with the production replicas.

#[path = "support/jobs_world.rs"]
mod jobs_world;

use std::collections::BTreeSet;

use jobs_world::World;
use stallmoor_core::identity::NodeId;
use stallmoor_core::replication::Term;
use stallmoor_core::serving::jobs::node::replica_settings;

/// The duration of a sync on the disks of the deployments, in milliseconds.
const DISK_SYNC_MS: u64 = 5;
/// The interval of the service's ticks of the replica in milliseconds.
const SERVICE_TICK_MS: u64 = 20;
/// The time in milliseconds within which jobs are accepted again after entries stop to get through.
const RECOVERED_WITHIN_MS: u64 = 9_000;

fn world(seed: u64, voters: u64) -> World {
    let mut world = World::with_settings(voters as usize / 2, seed, voters, replica_settings());
    world.sync_ms = DISK_SYNC_MS;
    world.tick_ms = SERVICE_TICK_MS;
    world.run_for(5_000);
    world
}

fn leader_of(world: &World) -> String {
    world.leaders().first().cloned().expect("there is a leader")
}

fn ids(world: &World) -> Vec<NodeId> {
    world.machines.values().map(|machine| machine.id).collect()
}

/// Returns the greatest term of all replicas, which grows with each election.
fn term(world: &World) -> Term {
    let processes = world.machines.values().filter_map(|machine| machine.process.as_ref());
    processes.map(|process| process.node.replica().term()).max().expect("a replica runs")
}

/// Returns the time until a further job is accepted, in milliseconds, if it is accepted within `limit`.
fn time_to_acceptance(world: &mut World, limit: u64) -> Option<u64> {
    let started = world.now;
    world.submitted.clear();
    let before = world.oracle.accepted.len();
    while world.now < started + limit {
        world.run_for(80);
        if world.oracle.accepted.len() > before {
            return Some(world.now - started);
        }
    }
    None
}

/// Guards against a leader whose heartbeats are answered while its entries reach nobody: reads are answered, and no
/// result is ever committed.
#[test]
fn a_leader_whose_entries_reach_nobody_makes_way() {
    for seed in 0..20 {
        let mut world = world(seed, 3);
        let leader = world.machines[&leader_of(&world)].id;
        world.entry_cuts = ids(&world).into_iter().filter(|id| *id != leader).map(|id| (leader, id)).collect();
        let taken = time_to_acceptance(&mut world, 40_000);
        println!("seed {seed}: {taken:?} ms");
        assert!(taken.is_some_and(|taken| taken <= RECOVERED_WITHIN_MS), "seed {seed}: {taken:?}");
        world.run_for(20_000);
        assert_ne!(world.machines[&leader_of(&world)].id, leader, "seed {seed}: it came back");
        world.entry_cuts.clear();
        world.check();
    }
}

/// Guards against a leader of five that makes way only if all others hear it.
#[test]
fn a_leader_of_five_makes_way_for_a_majority_of_the_others() {
    for seed in 0..10 {
        let mut world = world(seed, 5);
        let leader = world.machines[&leader_of(&world)].id;
        let others: Vec<NodeId> = ids(&world).into_iter().filter(|id| *id != leader).collect();
        world.entry_cuts = others.iter().map(|id| (leader, *id)).collect();
        world.cuts = BTreeSet::from([(others[0], leader), (leader, others[0])]);
        let taken = time_to_acceptance(&mut world, 40_000);
        assert!(taken.is_some_and(|taken| taken <= RECOVERED_WITHIN_MS), "seed {seed}: {taken:?}");
        world.entry_cuts.clear();
        world.check();
    }
}

/// Counts the elections of a group that is disturbed without need for another leader.
fn elections(seed: u64, voters: u64, disturb: impl Fn(&mut World), millis: u64) -> u64 {
    let mut world = world(seed, voters);
    let before = term(&world);
    disturb(&mut world);
    world.run_for(millis);
    term(&world).0 - before.0
}

/// Guards against a leader that is deposed because its group's disks are thirty times as slow, although it commits.
#[test]
fn slow_disks_depose_no_leader() {
    for seed in 0..10 {
        assert_eq!(elections(seed, 3, |world| world.sync_ms = 30 * DISK_SYNC_MS, 30_000), 0, "seed {seed}");
    }
}

/// Guards against a leader that makes way although no other could be elected: the one voter that answers lacks its
/// entries, so that this leader alone can win.
#[test]
fn a_leader_without_successors_stays() {
    for seed in 0..10 {
        let cut_off = |world: &mut World| {
            let leader = leader_of(world);
            let followers: Vec<String> = world.machines.keys().filter(|name| **name != leader).cloned().collect();
            let (leader_id, reached) = (world.machines[&leader].id, world.machines[&followers[0]].id);
            world.machines.get_mut(&followers[1]).expect("the machine exists").process = None;
            world.entry_cuts.insert((leader_id, reached));
        };
        assert_eq!(elections(seed, 3, cut_off, 30_000), 0, "seed {seed}");
    }
}

/// Guards against a leader that makes way while a follower that it needs receives a large snapshot or works it off.
#[test]
fn followers_that_stand_still_for_a_while_depose_no_leader() {
    for seed in 0..10 {
        let stall = |world: &mut World| {
            let leader = leader_of(world);
            let until = world.now + 4_000;
            for (_, machine) in world.machines.iter_mut().filter(|(name, _)| **name != leader) {
                machine.stalled_until = until;
            }
        };
        assert_eq!(elections(seed, 3, stall, 20_000), 0, "seed {seed}");
    }
}

/// Bounds the price where the disks of a majority write nothing for longer than a leader waits: a leader may make way in vain,
/// and jobs are accepted again soon after the disks write.
#[test]
fn disks_of_a_majority_that_stand_still_cost_few_elections() {
    for seed in 0..10 {
        let mut world = world(seed, 3);
        let (leader, before) = (leader_of(&world), term(&world));
        let until = world.now + 12_000;
        for (_, machine) in world.machines.iter_mut().filter(|(name, _)| **name != leader) {
            machine.stalled_until = until;
        }
        while world.now < until {
            world.run_for(80);
        }
        let taken = time_to_acceptance(&mut world, 20_000);
        let elections = term(&world).0 - before.0;
        println!("majority stands still, seed {seed}: {elections} elections, accepted {taken:?} ms after its end");
        assert!(elections <= 4, "seed {seed}: {elections}");
        assert!(taken.is_some_and(|taken| taken <= 4_000), "seed {seed}: {taken:?}");
        world.check();
    }
}

/// Guards against leaders that make way to and fro where nobody can commit: the disks of a majority write nothing.
#[test]
fn leaders_make_way_ever_more_seldom_where_nobody_can_commit() {
    for seed in 0..10 {
        let stall = |world: &mut World| {
            let everyone = ids(world);
            world.entry_cuts = everyone.iter().flat_map(|from| everyone.iter().map(|to| (*from, *to))).collect();
        };
        let elections = elections(seed, 3, stall, 120_000);
        println!("seed {seed}: {elections} elections in two minutes");
        assert!(elections <= 20, "seed {seed}: {elections}");
    }
}
