//! Tests which runs without a complete answer count if their worker turns out to have crashed.

use stallmoor_core::serving::crashes::IncompleteEnd;

/// Guards against blaming an item that was paused after many events for a later crash of its former worker.
#[test]
fn an_abandoned_run_that_its_worker_had_survived_does_not_count() {
    assert!(!IncompleteEnd::Abandoned.counts_if_crashed(2));
    assert!(!IncompleteEnd::Abandoned.counts_if_crashed(200));
}

/// Guards against missing the crash of a worker that begins a request which this node has just abandoned.
#[test]
fn an_abandoned_run_that_had_hardly_begun_counts() {
    assert!(IncompleteEnd::Abandoned.counts_if_crashed(0));
    assert!(IncompleteEnd::Abandoned.counts_if_crashed(1));
}

/// Guards against exempting requests that crash their workers in the middle of the response.
#[test]
fn a_run_that_its_worker_broke_off_counts_at_any_event() {
    assert!([0, 1, 2, 200].into_iter().all(|events| IncompleteEnd::BrokenOff.counts_if_crashed(events)));
}
