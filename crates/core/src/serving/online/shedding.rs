//! Load shedding: refusing a new stream at once that would be late.
//!
//! Where the first event is expected after the route's objective, the fleet has no room: a slot spent on the stream is
//! missing for one that could be in time.

use rand::Rng;

use crate::error::{ErrorKind, Ran, Refusal};
use crate::serving::workers::Choice;
use crate::time::Millis;

/// `Retry-After` of a request that was shed, as a share of the time that its caller still waits. A burst lasts for
/// seconds: a caller that retried sooner would be shed again, and one that retried later would have no time left.
const RETRY_AFTER_SHARE: f64 = 0.33;
/// The part of that time by which it is shortened at random, so that callers who were shed together don't retry
/// together.
const RETRY_AFTER_SPREAD: f64 = 0.15;

/// The times of a new stream, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTimes {
    /// From its arrival until its first event is expected.
    pub expected: Millis,
    /// From its arrival until its first event is late.
    pub objective: Millis,
    /// From now until its caller gives up.
    pub remaining: Millis,
}

/// The refusal for a stream that would be late at the worker that is best for it; `None` if it would be in time.
pub fn shed(choice: &Choice, times: StreamTimes, random: &mut impl Rng) -> Option<Refusal> {
    if times.expected <= times.objective {
        return None;
    }
    let detail = format!(
        "number {} to wait for {} slots, its first event expected after {} ms of {}",
        choice.queue_position, choice.slots, times.expected.0, times.objective.0
    );
    let wait = retry_after(times.remaining, random);
    Some(Refusal::new(ErrorKind::Overloaded, detail).with_ran(Ran::NotRun).with_retry_after(wait.0))
}

fn retry_after(remaining: Millis, random: &mut impl Rng) -> Millis {
    let drawn: f64 = random.random();
    let share = RETRY_AFTER_SHARE * (1.0 - RETRY_AFTER_SPREAD * drawn);
    Millis((remaining.0 as f64 * share) as u64)
}
