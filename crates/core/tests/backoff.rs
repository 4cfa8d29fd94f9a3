//! Guards against changes of retry delays, by comparing `Backoff` with the shift formulas it stands for.

use stallmoor_core::backoff::Backoff;
use stallmoor_core::time::Millis;

/// First delay and longest delay in milliseconds, and the maximum number of doublings in the formula.
const POLICIES: [(u64, u64, u32); 7] = [
    (300, 4_000, 6),
    (1_200, 4_000, 6),
    (40, 640, 8),
    (50, 450, 8),
    (10, 400, 6),
    (200, 10_000, 8),
    (2_000, 30_000, 8),
];

#[test]
fn delays_match_the_shift_formula() {
    for (first, longest, doublings) in POLICIES {
        let backoff = Backoff::new(Millis(first), Millis(longest));
        for failures in 0..100 {
            let formula = (first << failures.min(doublings)).min(longest);
            assert_eq!(backoff.wait(failures), Millis(formula), "{first} ms to {longest} ms after {failures} failures");
        }
    }
}

#[test]
fn delays_are_capped_at_eight_times_the_first_delay() {
    let span = 3_000;
    let backoff = Backoff::new(Millis(span), Millis(span * 8));
    for failures in 0..100_u32 {
        assert_eq!(backoff.wait(failures), Millis(span << failures.min(3)));
    }
}

#[test]
fn large_failure_counts_do_not_overflow() {
    let backoff = Backoff::new(Millis(1), Millis(u64::MAX));
    assert_eq!(backoff.wait(63), Millis(1 << 63));
    assert_eq!(backoff.wait(u32::MAX), Millis(u64::MAX));
}
