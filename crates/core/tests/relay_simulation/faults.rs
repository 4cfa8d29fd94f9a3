//! Faults that affect many nodes of a large fleet at once.

use rand::Rng;

use crate::world::{FORWARDERS, ROOTS, World};

/// Number of nodes in one zone of a large fleet.
const NODES: usize = 60;
/// Time of the fault, by which all nodes have a view.
const FAULT_AT: u64 = 6_000;
const FAULT_DURATION: u64 = 8_000;
const RUN_DURATION: u64 = 24_000;
/// Interval between changes during a release of many workers.
const RELEASE_INTERVAL: u64 = 50;
/// Number of nodes in the whole fleet.
const FLEET_NODES: u64 = 1_000;
/// Maximum number of calls per second by the whole fleet during an outage of the store: a tenth of the capacity of a
/// store for a fleet of this size.
const MAX_STORE_CALLS_PER_S: u64 = 1_600;
const SEEDS: u64 = 4;

fn world(seed: u64) -> World {
    World::with_nodes(seed, NODES).with_forwarders()
}

/// Runs a release with a fault injected once.
fn run(mut world: World, inject: impl Fn(&mut World)) -> World {
    while world.now < RUN_DURATION {
        if world.now == FAULT_AT {
            inject(&mut world);
        }
        if world.now.is_multiple_of(RELEASE_INTERVAL) {
            world.write();
        }
        world.step();
    }
    world
}

#[test]
fn other_nodes_see_changes_in_time_when_all_roots_and_forwarders_of_a_zone_stop() {
    for seed in 0..SEEDS {
        let world = run(world(seed), |world| {
            let until = world.now + FAULT_DURATION;
            world.nodes[..ROOTS + FORWARDERS].iter_mut().for_each(|node| node.faults.frozen_until = until);
        });
        assert!(world.worst_lag > 0, "changes were observed");
    }
}

#[test]
fn all_nodes_see_changes_in_time_when_the_store_refuses_a_third_and_drops_its_history() {
    for seed in 0..SEEDS {
        run(world(seed), |world| {
            let until = world.now + FAULT_DURATION;
            for node in 0..NODES {
                if world.random.random_range(0..3) == 0 {
                    world.nodes[node].faults.refused_until = until;
                }
            }
            world.drop_history();
        });
    }
}

/// Returns the number of calls to the store by all followers from the fault on.
fn store_calls(seed: u64, inject: impl Fn(&mut World, u64)) -> u64 {
    let world = run(world(seed), |world| {
        world.nodes.iter_mut().for_each(|node| node.store_calls = 0);
        inject(world, world.now + FAULT_DURATION);
    });
    let followers = &world.nodes[ROOTS + FORWARDERS..];
    followers.iter().map(|node| node.store_calls).sum()
}

#[test]
fn an_unreachable_store_is_called_rarely_and_not_overloaded_when_it_recovers() {
    for seed in 0..SEEDS {
        let unresponsive =
            |world: &mut World, until| world.nodes.iter_mut().for_each(|node| node.faults.unresponsive_until = until);
        let refusing =
            |world: &mut World, until| world.nodes.iter_mut().for_each(|node| node.faults.refused_until = until);
        let calls = store_calls(seed, unresponsive).max(store_calls(seed, refusing));
        let followers = (NODES - ROOTS - FORWARDERS) as u64;
        let in_outage = followers * MAX_STORE_CALLS_PER_S * FAULT_DURATION / FLEET_NODES / 1_000;
        // Each follower may also list the store once after the outage.
        assert!(calls <= in_outage + followers, "{calls} calls to the store, seed {seed}");
    }
}

#[test]
fn nodes_in_a_rolling_restart_obtain_their_views_in_time_and_mostly_from_relays() {
    for seed in 0..SEEDS {
        let mut world = world(seed);
        let mut next_node = 0;
        while world.now < RUN_DURATION {
            if world.now >= FAULT_AT && world.now.is_multiple_of(250) && next_node < NODES {
                world.restart(next_node, 200);
                next_node += 1;
            }
            if world.now.is_multiple_of(RELEASE_INTERVAL) {
                world.write();
            }
            world.step();
        }
        let followers = &world.nodes[ROOTS + FORWARDERS..];
        let calls: u64 = followers.iter().map(|node| node.store_calls).sum();
        assert!(calls <= followers.len() as u64, "followers called the store {calls} times, seed {seed}");
    }
}
