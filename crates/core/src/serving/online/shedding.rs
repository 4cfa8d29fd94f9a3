//! Load shedding: immediately refuses a new stream whose first event would be late.
//!
//! If the first event is expected after the route's objective, the fleet is overloaded. A slot spent on such a stream
//! is not available to one that could still be on time.

use rand::Rng;

use crate::error::{ErrorKind, Ran, Refusal};
use crate::serving::workers::Choice;
use crate::time::Millis;

/// `Retry-After` of a shed request, as a fraction of the time that its caller still waits. An earlier retry would
/// likely be shed again; a later one would have too little time left. A burst lasts for seconds.
const RETRY_AFTER_FRACTION: f64 = 0.33;
/// Maximum fraction by which `Retry-After` is randomly shortened, so that callers shed together do not retry together.
const RETRY_AFTER_JITTER: f64 = 0.15;

/// The timing of a new stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTiming {
    /// Expected time from arrival to the first event.
    pub expected: Millis,
    /// Maximum time from arrival to the first event for it to be on time.
    pub objective: Millis,
    /// Time from now to the request's deadline.
    pub remaining: Millis,
}

/// Returns a refusal if the stream would be late even at the best worker, which is `choice`.
pub fn shed(choice: &Choice, times: StreamTiming, random: &mut impl Rng) -> Option<Refusal> {
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
    let fraction = RETRY_AFTER_FRACTION * (1.0 - RETRY_AFTER_JITTER * drawn);
    Millis((remaining.0 as f64 * fraction) as u64)
}
