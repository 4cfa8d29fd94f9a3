//! Waits between retries, against the formulas that the places which retry had each for themselves.

use stallmoor_core::backoff::Backoff;
use stallmoor_core::time::Millis;

/// A first wait, the longest, and up to how many doublings the formula went.
const PLACES: [(u64, u64, u32); 7] = [
    (300, 4_000, 6),
    (1_200, 4_000, 6),
    (40, 640, 8),
    (50, 450, 8),
    (10, 400, 6),
    (200, 10_000, 8),
    (2_000, 30_000, 8),
];

#[test]
fn each_place_that_retries_waits_as_its_own_formula_said() {
    for (first, longest, doublings) in PLACES {
        let backoff = Backoff::new(Millis(first), Millis(longest));
        for failures in 0..100 {
            let formula = (first << failures.min(doublings)).min(longest);
            assert_eq!(backoff.wait(failures), Millis(formula), "{first} ms to {longest} ms after {failures}");
        }
    }
}

#[test]
fn a_silent_relay_is_avoided_for_eight_times_the_first_span_at_most() {
    let span = 3_000;
    let backoff = Backoff::new(Millis(span), Millis(span * 8));
    for failures in 0..100_u32 {
        assert_eq!(backoff.wait(failures), Millis(span << failures.min(3)));
    }
}

#[test]
fn no_count_of_failures_overflows() {
    let backoff = Backoff::new(Millis(1), Millis(u64::MAX));
    assert_eq!(backoff.wait(63), Millis(1 << 63));
    assert_eq!(backoff.wait(u32::MAX), Millis(u64::MAX));
}
