//! Nodes that receive the store's changes through relays, on a virtual clock, while relays freeze, links fail, and
//! the store becomes unreachable for some or all nodes.
//!
//! Invariants: a running node that has been able to reach the store for the contact bound sees each change within the
//! change bound, whatever happens to the relays; and it sends no requests to a worker whose record was removed
//! earlier than that.

mod faults;
mod world;

use rand::Rng;
use stallmoor_core::serving::relay::item::Revision;
use stallmoor_core::serving::relay::policy::{ViewState, WatchPolicy, WatchStep};
use stallmoor_core::time::Millis;

use world::{BOUNDS, ROOTS, World, at};

/// Runs one minute of virtual time.
fn run(seed: u64, with_faults: bool) -> World {
    run_world(World::new(seed), with_faults)
}

fn run_world(mut world: World, with_faults: bool) -> World {
    let (mut next_write, mut next_fault) = (0, 4_000);
    while world.now < 60_000 {
        if world.now >= next_write {
            world.write();
            next_write = world.now + world.random.random_range(10..3_000);
        }
        if with_faults && world.now >= next_fault {
            world.inject_fault();
            next_fault = world.now + world.random.random_range(300..4_000);
        }
        world.step();
    }
    world
}

#[test]
fn a_connected_node_sees_each_change_in_time_while_relays_fail() {
    for seed in 0..120 {
        run(seed, true);
    }
}

#[test]
fn a_connected_node_sends_nothing_to_departed_workers_while_relays_fail() {
    for seed in 0..120 {
        run_world(World::new(seed).with_worker_checks(), true);
    }
}

#[test]
fn a_node_behind_two_tiers_sees_each_change_in_time_while_either_tier_fails() {
    for seed in 0..200 {
        let world = World::new(seed).with_worker_checks();
        run_world(world.with_forwarders(), true);
    }
}

#[test]
fn without_faults_forwarders_do_not_call_the_store_and_changes_pass_both_tiers() {
    let world = run_world(World::new(1).with_forwarders(), false);
    let callers = world.nodes.iter().filter(|node| node.store_calls > 3).count();
    assert!(callers <= 2, "{callers} nodes call the store repeatedly");
    assert!(world.nodes[ROOTS..].iter().all(|node| node.store_calls <= 1), "only roots call the store repeatedly");
    assert!(world.worst_lag < BOUNDS.change.0 / 2, "the maximum lag is {} ms", world.worst_lag);
}

#[test]
fn without_faults_only_relays_call_the_store() {
    let world = run(1, false);
    let callers = world.nodes.iter().filter(|node| node.store_calls > 3).count();
    assert!(callers <= 2, "{callers} nodes call the store repeatedly");
    assert!(world.worst_lag < BOUNDS.change.0 / 3, "the maximum lag is {} ms", world.worst_lag);
}

#[test]
fn a_node_without_relays_watches_the_store_with_a_long_wait() {
    let view = ViewState { now: at(0), at: Some(Revision(3)), age: Some(Millis(0)), last_request_at: None };
    let mut policy = WatchPolicy::new(BOUNDS);
    assert_eq!(policy.next(view, &[]), WatchStep::ListStore, "the view may be incomplete");
    policy.record_store_answer(at(0));
    assert_eq!(policy.next(view, &[]), WatchStep::WatchStore { since: Revision(3), wait: Millis(3_500) });
}
