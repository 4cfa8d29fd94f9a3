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
