//! Guards against a confirmation that is taken for a request made after its read began, and against a read for each request.

use proptest::prelude::*;
use stallmoor_core::serving::relay::confirmation::{ConfirmationRequests, FAILED_READ_BACKOFF, MIN_READ_INTERVAL};
use stallmoor_core::time::{Millis, Timestamp};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Guards against a read that confirms the view for a request that came after it began.
#[test]
fn a_read_serves_the_requests_made_before_it_began() {
    let mut requests = ConfirmationRequests::default();
    let add = |requests: &mut ConfirmationRequests| requests.add(at(0)).expect("no read has failed");
    let (first, second) = (add(&mut requests), add(&mut requests));
    let served = requests.begin_read(at(0));
    let late = add(&mut requests);
    let reads = requests.end_read(served, true, at(0));
    assert_eq!([first, second, late].map(|request| reads.outcome(request)), [Some(true), Some(true), None]);
    let served = requests.begin_read(at(30));
    let reads = requests.end_read(served, false, at(40));
    assert_eq!([second, late].map(|request| reads.outcome(request)), [Some(true), Some(false)]);
}

/// Guards against waiting for a read that is likely to fail, and against none any more after a failure.
#[test]
fn no_read_is_made_shortly_after_one_that_failed() {
    let mut requests = ConfirmationRequests::default();
    let first = requests.add(at(0)).expect("no read has failed");
    let served = requests.begin_read(at(0));
    assert_eq!(requests.end_read(served, false, at(150)).outcome(first), Some(false));
    assert_eq!(requests.add(at(150 + FAILED_READ_BACKOFF.0 - 1)), None);
    assert!(requests.add(at(150 + FAILED_READ_BACKOFF.0)).is_some());
    requests.end_read(served, true, at(700));
    assert!(requests.add(at(700)).is_some());
}

/// Guards against calls in proportion to the requests.
#[test]
fn reads_are_spaced() {
    let mut requests = ConfirmationRequests::default();
    assert_eq!(requests.wait_before_read(at(0)), Millis(0), "the first read begins at once");
    requests.begin_read(at(0));
    assert_eq!(requests.wait_before_read(at(10)), Millis(MIN_READ_INTERVAL.0 - 10));
    assert_eq!(requests.wait_before_read(at(MIN_READ_INTERVAL.0)), Millis(0));
}

proptest! {
    /// Guards against an outcome that changes, or that no read after the request supports.
    #[test]
    fn a_request_is_confirmed_only_by_a_read_that_began_after_it(steps in proptest::collection::vec(0..4_u8, 1..60)) {
        let mut requests = ConfirmationRequests::default();
        let (mut made, mut reading, mut confirmed_up_to, mut clock) = (Vec::new(), None, 0, 0);
        for step in steps {
            match (step, reading) {
                (0, _) => {
                    clock += FAILED_READ_BACKOFF.0;
                    made.push(requests.add(at(clock)).expect("no read has failed lately"));
                }
                (1, None) => reading = Some((requests.begin_read(at(clock)), made.len())),
                (2 | 3, Some((served, count))) => {
                    let reads = requests.end_read(served, step == 2, at(clock));
                    confirmed_up_to = if step == 2 { count } else { confirmed_up_to };
                    reading = None;
                    for (index, request) in made.iter().enumerate() {
                        prop_assert_eq!(reads.outcome(*request) == Some(true), index < confirmed_up_to);
                        prop_assert_eq!(reads.outcome(*request).is_some(), index < count);
                    }
                }
                _ => {}
            }
        }
    }
}
