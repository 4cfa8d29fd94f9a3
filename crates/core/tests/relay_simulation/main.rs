//! Nodes that take the store's changes from relays, on a virtual clock, while relays freeze, links break, and the
//! store goes away for some or for all.
//!
//! What must hold: a node that runs, and had a way to the store for the contact bound, knows each change within the
//! change bound, whatever became of the relays; and it sends nothing to a worker whose record was removed before that.

mod faults;
mod world;

use rand::Rng;
use stallmoor_core::serving::relay::item::Revision;
use stallmoor_core::serving::relay::policy::{ViewState, WatchPolicy, WatchStep};
use stallmoor_core::time::Millis;

use world::{BOUNDS, ROOTS, World, at};

/// Plays a minute of virtual time.
fn play(seed: u64, with_faults: bool) -> World {
    play_world(World::new(seed), with_faults)
}

fn play_world(mut world: World, with_faults: bool) -> World {
    let (mut next_write, mut next_fault) = (0, 4_000);
    while world.now < 60_000 {
        if world.now >= next_write {
            world.write();
            next_write = world.now + world.random.random_range(10..3_000);
        }
        if with_faults && world.now >= next_fault {
            world.fault();
            next_fault = world.now + world.random.random_range(300..4_000);
        }
        world.step();
    }
    world
}

#[test]
fn a_node_in_touch_knows_each_change_in_time_whatever_becomes_of_relays() {
    for seed in 0..120 {
        play(seed, true);
    }
}

#[test]
fn a_node_in_touch_sends_nothing_to_workers_that_left_whatever_becomes_of_relays() {
    for seed in 0..120 {
        play_world(World::new(seed).looking_at_workers(), true);
    }
}

#[test]
fn a_node_behind_two_tiers_knows_each_change_in_time_whatever_becomes_of_either() {
    for seed in 0..200 {
        let world = World::new(seed).looking_at_workers();
        play_world(world.with_forwarders(), true);
    }
}

#[test]
fn in_calm_times_forwarders_do_not_call_the_store_and_changes_come_through_both_tiers() {
    let world = play_world(World::new(1).with_forwarders(), false);
    let callers = world.nodes.iter().filter(|node| node.store_calls > 3).count();
    assert!(callers <= 2, "{callers} nodes call the store again and again");
    assert!(world.nodes[ROOTS..].iter().all(|node| node.store_calls <= 1), "only roots do");
    assert!(world.worst_lag < BOUNDS.change.0 / 2, "the worst lag is {} ms", world.worst_lag);
}

#[test]
fn in_calm_times_only_relays_call_the_store() {
    let world = play(1, false);
    let callers = world.nodes.iter().filter(|node| node.store_calls > 3).count();
    assert!(callers <= 2, "{callers} nodes call the store again and again");
    assert!(world.worst_lag < BOUNDS.change.0 / 3, "the worst lag is {} ms", world.worst_lag);
}

#[test]
fn a_node_without_relays_watches_the_store_with_long_waits() {
    let view = ViewState { now: at(0), at: Some(Revision(3)), age: Some(Millis(0)), asked_at: None };
    let mut policy = WatchPolicy::new(BOUNDS);
    assert_eq!(policy.next(view, &[]), WatchStep::ListStore, "what it holds is not known to be whole");
    policy.store_answered(at(0));
    assert_eq!(policy.next(view, &[]), WatchStep::WatchStore { since: Revision(3), wait: Millis(3_500) });
}
