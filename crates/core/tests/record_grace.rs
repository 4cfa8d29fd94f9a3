//! Deadlines for using workers whose records are missing. They must follow from the state of the view and the last
//! failed call, never from when the node reads the store again.

use proptest::prelude::*;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::item::Revision;
use stallmoor_core::serving::relay::message::{ChangeSet, ChangesAnswer};
use stallmoor_core::serving::relay::mirror::MissingKeys;
use stallmoor_core::serving::relay::outage::FailedCall;
use stallmoor_core::serving::relay::policy::{ViewState, WatchPolicy, WatchRole, WatchStep};
use stallmoor_core::time::{Millis, Timestamp};

const BOUNDS: WatchBounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
const RELAY: NodeId = NodeId(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Returns a view at time `now` that was last confirmed at `confirmed`.
fn view(now: u64, confirmed: u64) -> ViewState {
    ViewState { now: at(now), at: Some(Revision(3)), age: Some(Millis(now - confirmed)), last_request_at: None }
}

fn timed_out_call(started_at: u64, failed_at: u64) -> FailedCall {
    FailedCall { started_at: at(started_at), failed_at: at(failed_at), timed_out: true }
}

fn refused_call(failed_at: u64) -> FailedCall {
    FailedCall { started_at: at(failed_at - 1), failed_at: at(failed_at), timed_out: false }
}

fn answer(age: u64, away: u64) -> ChangesAnswer {
    let changes = ChangeSet { base: Some(Revision(3)), at: Revision(3), items: Vec::new() };
    ChangesAnswer { changes, age: Millis(age), away: Millis(away), held: Millis(0) }
}

#[test]
fn a_record_missing_without_an_outage_was_removed() {
    let grace = WatchPolicy::new(BOUNDS).record_grace(view(1_000, 900));
    assert_eq!(grace.expired_usable_until, None);
    assert_eq!(grace.missing_keys(), MissingKeys::Removed);
}

#[test]
fn no_record_expires_in_a_short_outage() {
    let mut policy = WatchPolicy::new(BOUNDS);
    policy.record_store_failure(WatchRole::Relay, view(1_000, 900), refused_call(1_000), 0.0);
    assert_eq!(policy.record_grace(view(2_799, 900)).expired_usable_until, None);
    assert!(policy.record_grace(view(2_800, 900)).expired_usable_until.is_some());
}

#[test]
fn the_grace_after_an_outage_ends_a_contact_bound_after_the_last_failed_call() {
    let mut policy = WatchPolicy::new(BOUNDS);
    policy.record_store_failure(WatchRole::Relay, view(1_000, 900), refused_call(1_000), 0.0);
    policy.record_store_failure(WatchRole::Relay, view(5_000, 900), timed_out_call(4_000, 5_000), 0.0);
    // 4,000 + 3,000, less 250 during which a request may be in flight.
    assert_eq!(policy.record_grace(view(5_200, 900)).expired_usable_until, Some(at(6_750)));
    assert_eq!(policy.record_grace(view(6_750, 900)).expired_usable_until, None, "the deadline has passed");
    policy.record_store_failure(WatchRole::Relay, view(6_800, 900), refused_call(6_800), 0.0);
    // At most the two seconds in which expired records are rewritten.
    assert_eq!(policy.record_grace(view(6_810, 900)).expired_usable_until, Some(at(8_810)));
}

#[test]
fn an_outage_that_has_ended_grants_no_grace() {
    let mut policy = WatchPolicy::new(BOUNDS);
    policy.record_store_failure(WatchRole::Relay, view(1_000, 900), refused_call(1_000), 0.0);
    assert_eq!(policy.record_store_answer(at(4_000)), Millis(3_000));
    assert_eq!(policy.record_grace(view(4_100, 4_000)).expired_usable_until, None);
}

#[test]
fn an_answer_of_a_disconnected_relay_is_no_sign_of_an_outage() {
    let mut policy = WatchPolicy::new(BOUNDS);
    assert!(!policy.record_relay_answer(RELAY, &answer(5_000, 5_000), at(6_000)));
    assert_eq!(policy.record_grace(view(6_000, 1_000)).expired_usable_until, None);
    assert_eq!(policy.outage_duration(at(6_000)), Millis(0));
}

#[test]
fn an_outage_of_a_follower_starts_when_its_view_was_last_confirmed() {
    let mut policy = WatchPolicy::new(BOUNDS);
    policy.record_store_failure(WatchRole::Follower, view(2_600, 1_000), refused_call(2_600), 0.0);
    assert!(policy.record_grace(view(2_800, 1_000)).expired_usable_until.is_some());
}

#[test]
fn a_removed_worker_is_a_last_resort_within_the_change_bound() {
    let policy = WatchPolicy::new(BOUNDS);
    assert_eq!(policy.record_grace(view(1_000, 900)).removed_usable_until, at(2_000), "one second");
    assert_eq!(policy.record_grace(view(2_000, 900)).removed_usable_until, at(2_650), "the rest of the change bound");
    assert_eq!(policy.record_grace(view(9_000, 900)).removed_usable_until, at(2_650), "the bound has passed");
}

#[test]
fn relays_that_failed_in_an_outage_are_queried_again_after_it() {
    let mut policy = WatchPolicy::new(BOUNDS);
    policy.record_store_answer(at(0));
    for failure in 0..4 {
        policy.record_relay_failure(RELAY, at(failure * 500));
    }
    let queries_relay =
        |policy: &WatchPolicy| matches!(policy.next(view(9_000, 8_950), &[RELAY]), WatchStep::QueryRelay { .. });
    assert!(!queries_relay(&policy), "its cooldown has not ended");
    policy.record_store_failure(WatchRole::Follower, view(8_000, 900), refused_call(8_000), 0.0);
    policy.record_store_answer(at(8_950));
    assert!(queries_relay(&policy));
}

proptest! {
    /// Whatever calls failed, and however late the node reads the store, the grace ends before the bounds apply
    /// again, counted from the earliest possible end of the outage.
    #[test]
    fn the_grace_ends_before_the_bounds_apply_again(
        calls in proptest::collection::vec((1u64..2_000, 1u64..1_500, any::<bool>()), 1..20),
        delay in 0u64..4_000,
    ) {
        let mut policy = WatchPolicy::new(BOUNDS);
        let (mut now, mut unreachable_since) = (1_000, 0);
        for (pause, took, timed_out) in calls {
            let (started_at, failed_at) = (now + pause, now + pause + took);
            (now, unreachable_since) = (failed_at, if timed_out { started_at } else { failed_at });
            let call = FailedCall { started_at: at(started_at), failed_at: at(failed_at), timed_out };
            policy.record_store_failure(WatchRole::Follower, view(now, 900), call, 0.5);
        }
        let read = now + delay;
        let grace = policy.record_grace(view(read, 900));
        let deadline = at(unreachable_since) + BOUNDS.contact;
        prop_assert!(grace.expired_usable_until.is_none_or(|until| until < deadline && until > at(read)));
        prop_assert!(grace.removed_usable_until < at(900) + BOUNDS.change);
    }
}
