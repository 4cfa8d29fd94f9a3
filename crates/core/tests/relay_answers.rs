//! Validation of a relay's answer, the age that it gives to the requester's view, and the backoff after failures.

use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::choice::RelaySelector;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::message::{ChangeSet, ChangesAnswer};
use stallmoor_core::serving::relay::outage::FailedCall;
use stallmoor_core::serving::relay::policy::{ViewState, WatchPolicy, WatchRole, WatchStep};
use stallmoor_core::time::{Millis, Timestamp};

const RELAY: NodeId = NodeId(7);
const SINCE: Revision = Revision(40);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn answer(base: Option<u64>, upto: u64, keys: &[&str]) -> ChangesAnswer {
    let item = |key: &&str| MetadataItem {
        key: Arc::from(*key),
        state: KeyState::Present(Arc::from(*b"value")),
        revision: Revision(upto),
    };
    let items = keys.iter().map(item).collect();
    let changes = ChangeSet { base: base.map(Revision), at: Revision(upto), items };
    ChangesAnswer { changes, age: Millis(120), away: Millis(0), held: Millis(300) }
}

#[test]
fn changes_are_valid_only_if_they_start_at_the_requested_revision() {
    assert!(answer(Some(40), 45, &["a"]).is_valid_for(SINCE));
    assert!(answer(Some(40), 40, &[]).is_valid_for(SINCE));
    assert!(!answer(Some(39), 45, &["a"]).is_valid_for(SINCE));
    assert!(!answer(Some(41), 45, &["a"]).is_valid_for(SINCE), "the changes in between are missing");
}

#[test]
fn a_complete_list_is_valid_unless_it_is_older_than_the_view() {
    assert!(answer(None, 40, &["a"]).is_valid_for(SINCE));
    assert!(!answer(None, 39, &["a"]).is_valid_for(SINCE));
}

#[test]
fn an_item_without_a_key_makes_an_answer_invalid() {
    assert!(!answer(Some(40), 45, &["a", ""]).is_valid_for(SINCE));
    assert!(!answer(None, 45, &[""]).is_valid_for(SINCE));
}

#[test]
fn a_network_delay_makes_a_view_older_and_never_younger() {
    // Requested at 1,000, held for 300, and the relay's view was 120 old then: independent of when the answer
    // arrives.
    assert_eq!(answer(Some(40), 45, &[]).confirmed_at(at(1_000)), at(1_180));
    let old = ChangesAnswer { age: Millis(5_000_000), ..answer(Some(40), 45, &[]) };
    assert_eq!(old.confirmed_at(at(1_000)), Timestamp::from_millis(0), "the age exceeds the clock");
}

#[test]
fn a_watch_without_changes_confirms_the_view_only_after_its_wait() {
    let confirmed = |has_changes, now| WatchPolicy::watch_confirmed_at(at(0), Millis(400), has_changes, at(now));
    assert_eq!(confirmed(false, 405), at(400));
    assert_eq!(confirmed(false, 399), at(0), "the answer arrived before the end of the wait");
    assert_eq!(confirmed(true, 405), at(0), "the changes may date from the start of the watch");
}

#[test]
fn the_cooldown_of_a_failed_relay_doubles_up_to_eight_times_the_first() {
    let mut relays = RelaySelector::default();
    let mut now = at(0);
    for expected in [3_000, 6_000, 12_000, 24_000, 24_000] {
        relays.record_failure(RELAY, Millis(3_000), now);
        assert_eq!(relays.time_until_usable(now, &[RELAY]), Some(Millis(expected)));
        now = now + Millis(expected);
        assert_eq!(relays.first_usable(now, &[RELAY]), Some(RELAY));
    }
}

#[test]
fn backoff_doubles_up_to_the_fraction_of_the_contact_bound_for_the_role() {
    let waits = |role: WatchRole, contact: u64, failures: usize| {
        let bounds = WatchBounds { change: Millis(2_000), contact: Millis(contact), heartbeat: Millis(1_200) };
        let mut policy = WatchPolicy::new(bounds);
        let mut now = at(0);
        let mut waits = Vec::new();
        for _ in 0..failures {
            let view = ViewState { now, at: None, age: None, last_request_at: None };
            policy.record_store_failure(
                role,
                view,
                FailedCall { started_at: now, failed_at: now, timed_out: false },
                0.5,
            );
            let WatchStep::Wait(wait) = policy.next(view, &[]) else { panic!("the store is called without a backoff") };
            waits.push(wait.0);
            now = now + wait;
        }
        waits
    };
    assert_eq!(waits(WatchRole::Relay, 3_000, 5), [50, 100, 200, 400, 450]);
    assert_eq!(waits(WatchRole::Follower, 3_000, 6), [50, 100, 200, 400, 750, 750]);
    assert_eq!(waits(WatchRole::Standalone, 3_600_000, 10)[7..], [6_400, 12_800, 12_800]);
}

/// A refused call that ended at `now`.
fn refused(now: Timestamp) -> FailedCall {
    FailedCall { started_at: now, failed_at: now, timed_out: false }
}

/// Guards against a storage node that stays without changes because other nodes query it while the store refuses it alone.
#[test]
fn a_relay_queries_another_relay_while_it_backs_off_and_calls_the_store_again_after() {
    let bounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
    let mut policy = WatchPolicy::new(bounds);
    let view = |millis: u64| ViewState {
        now: at(millis),
        at: Some(SINCE),
        age: Some(Millis(millis)),
        last_request_at: Some(at(millis)),
    };
    assert_eq!(policy.role(view(0), &[RELAY]), WatchRole::Relay);
    policy.record_store_answer(at(0));
    assert!(matches!(policy.next(view(0), &[RELAY]), WatchStep::WatchStore { .. }), "the store answers");
    policy.record_store_failure(WatchRole::Relay, view(10), refused(at(10)), 0.5);
    assert!(matches!(policy.next(view(20), &[RELAY]), WatchStep::QueryRelay { relay: RELAY, .. }));
    assert!(policy.record_answer_to_relay(RELAY, &answer(Some(40), 41, &["a"]), at(30)));
    assert!(matches!(policy.next(view(70), &[RELAY]), WatchStep::WatchStore { .. }), "the backoff is over");
    // The other relay does not end the outage of this one, which its followers are told.
    assert_eq!(policy.outage_duration(at(1_010)), Millis(1_000));
    assert!(!policy.can_confirm(view(70)));
    policy.record_store_failure(WatchRole::Relay, view(80), refused(at(80)), 0.5);
    assert!(matches!(policy.next(view(170), &[]), WatchStep::Wait(Millis(10))), "the second backoff is twice as long");
}

/// Guards against a node that knows storage nodes of a former process and waits for the store alone.
#[test]
fn a_node_without_a_view_queries_the_storage_nodes_it_knows_while_the_store_fails() {
    let bounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
    let mut policy = WatchPolicy::new(bounds);
    let view = |millis: u64| ViewState { now: at(millis), at: None, age: None, last_request_at: None };
    assert_eq!(policy.next(view(0), &[RELAY]), WatchStep::DiscoverRelays, "the store is called first");
    policy.record_store_failure(WatchRole::Follower, view(10), refused(at(10)), 0.5);
    let step = policy.next(view(20), &[RELAY]);
    assert_eq!(step, WatchStep::QueryRelay { relay: RELAY, hold: Millis(0), timeout: Millis(500) });
    policy.record_first_view_failure(RELAY, at(20));
    assert_eq!(policy.next(view(30), &[RELAY]), WatchStep::Wait(Millis(30)), "no longer than the backoff");
    assert_eq!(policy.next(view(60), &[RELAY]), WatchStep::DiscoverRelays, "the backoff is over");
}
