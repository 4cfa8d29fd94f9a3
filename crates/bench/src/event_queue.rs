//! An event queue on a virtual clock. Events with the same time are returned in insertion order.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Scheduled<E> {
    at: u64,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Priority queue of events. The caller defines the unit of time.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at the given time.
    pub fn push(&mut self, at: u64, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Removes and returns the earliest event with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }

    /// Returns the queued events in arbitrary order.
    pub fn events(&self) -> impl Iterator<Item = &E> {
        self.heap.iter().map(|Reverse(scheduled)| &scheduled.event)
    }

    /// Returns the total number of events ever added.
    pub fn count(&self) -> u64 {
        self.sequence
    }
}
