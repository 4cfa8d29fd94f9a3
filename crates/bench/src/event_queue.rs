//! A queue of events on a virtual clock. Events at the same time come out in the order they went in.

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

/// The queue. The unit of time is the user's.
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
    /// Adds an event at a time.
    pub fn push(&mut self, at: u64, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    /// Takes the earliest event and its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }

    /// The events in the queue, in no order.
    pub fn events(&self) -> impl Iterator<Item = &E> {
        self.heap.iter().map(|Reverse(scheduled)| &scheduled.event)
    }

    /// How many events were ever added.
    pub fn count(&self) -> u64 {
        self.sequence
    }
}
