//! Which answers are ended if their callers don't read them and other answers need the memory.
//!
//! A complete answer is held until its caller has read it, without a deadline. Callers that never read would keep the
//! memory of all others.

use std::collections::BTreeMap;

use crate::time::{Millis, Timestamp};

/// Time without reading after which a caller's answer may be ended. Callers that read slowly keep theirs.
pub const MAX_UNREAD: Millis = Millis(2_000);

/// A complete answer that its caller has not read to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadAnswer {
    /// When the caller last took a part of it.
    pub read_at: Timestamp,
    /// Bytes that are held.
    pub held: usize,
}

/// Returns the answers to end so that `needed` bytes are free, beginning with those that were not read for longest. Returns
/// none if that would not be enough.
pub fn answers_to_end(unread: &BTreeMap<u64, UnreadAnswer>, needed: usize, now: Timestamp) -> Vec<u64> {
    let mut stalled: Vec<(&u64, &UnreadAnswer)> =
        unread.iter().filter(|(_, answer)| now.since(answer.read_at) >= MAX_UNREAD).collect();
    stalled.sort_by_key(|(number, answer)| (answer.read_at, **number));
    let mut freed = 0_usize;
    let mut ended = Vec::new();
    for (number, answer) in stalled {
        if freed >= needed {
            break;
        }
        freed = freed.saturating_add(answer.held);
        ended.push(*number);
    }
    if freed >= needed { ended } else { Vec::new() }
}
