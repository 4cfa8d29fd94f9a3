//! Ends of answers to streaming requests.

use stallmoor_core::serving::online::stream_end::{BodyFraming, EndedAnswer, StreamCompletion};

/// Guards against a stream that counts as complete although its worker stopped before it sent anything, and against one
/// that never does although a worker states that nothing is missing.
#[test]
fn completion_needs_an_event_or_an_explicit_end_of_a_resumed_stream() {
    use BodyFraming::{Explicit, UntilClose};
    use StreamCompletion::{Broken, Complete, Unknown};
    let cases = [
        // Framing, within an event, has events, resumed.
        (Explicit, false, true, false, Complete),
        (Explicit, false, true, true, Complete),
        (Explicit, false, false, true, Complete),
        (Explicit, false, false, false, Broken),
        (Explicit, true, true, true, Broken),
        (UntilClose, false, true, false, Complete),
        (UntilClose, false, true, true, Complete),
        (UntilClose, false, false, true, Unknown),
        (UntilClose, false, false, false, Broken),
        (UntilClose, true, true, true, Broken),
    ];
    for (framing, is_within_event, has_events, is_resumed, expected) in cases {
        let answer = EndedAnswer { framing, is_within_event, has_events };
        assert_eq!(answer.completion(is_resumed), expected, "{answer:?}, resumed: {is_resumed}");
    }
}
