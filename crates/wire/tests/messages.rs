//! Checks that messages of every kind round-trip through the wire format, and that invalid bytes yield an error.

#[path = "../../core/tests/support/golden_values.rs"]
mod golden_values;
mod support;

use capnp::message::{ReaderOptions, ReaderSegments};
use capnp::serialize_packed;
use proptest::prelude::*;
use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::{GroupAnswer, GroupAnswerBody, PeerMessage};
use stallmoor_core::serving::jobs::request::JobsAnswer;
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_wire::{WireError, decode, decode_within, encode};
use support::all_messages;

#[test]
fn every_message_kind_round_trips() {
    for (_, message) in all_messages() {
        let decoded = decode(&encode(&message)).expect("decode an encoded message");
        assert_eq!(decoded, message);
    }
}

/// Guards against loads that nodes of former versions can't read because of what was added to them. These nodes read the
/// body up to the end of the loads.
#[test]
fn former_versions_read_loads_with_a_standstill() {
    let (_, message) =
        all_messages().into_iter().find(|(name, _)| name.ends_with("loads-standstill")).expect("a sample");
    let PeerMessage::GroupAnswer(GroupAnswer { result: Ok(GroupAnswerBody::Jobs(JobsAnswer::Loads(loads))), .. }) =
        &message
    else {
        panic!("{message:?} has no loads");
    };
    let former = GroupAnswerBody::Jobs(JobsAnswer::Loads(LoadReport { standstill: None, ..loads.clone() }));
    let former_bytes = postcard::to_stdvec(&former).expect("the body is encoded");
    let packed = encode(&message);
    let unpacked = serialize_packed::read_message(&packed[..], ReaderOptions::new()).expect("the message is valid");
    let segments = unpacked.into_segments();
    let bytes = segments.get_segment(0).expect("the segment exists");
    let start =
        bytes.windows(former_bytes.len()).position(|window| window == former_bytes).expect("the body begins so");
    assert_eq!(postcard::from_bytes(&bytes[start..]), Ok(former.clone()));
    let PeerMessage::GroupAnswer(answer) = message else { unreachable!() };
    let of_former = PeerMessage::GroupAnswer(GroupAnswer { result: Ok(former), ..answer });
    assert_eq!(decode(&encode(&of_former)).ok(), Some(of_former));
}

#[test]
fn a_truncated_message_is_refused() {
    for (_, message) in all_messages() {
        let bytes = encode(&message);
        for length in 0..bytes.len() {
            assert!(decode(&bytes[..length]).is_err(), "{length} of {} bytes of {message:?}", bytes.len());
        }
    }
}

#[test]
fn a_message_of_another_version_is_refused() {
    let bytes = encode(&PeerMessage::DirectoryRequest { from: NodeId(1) });
    // The version is one of the bytes with value 1 in the packed message. Changing another one causes other errors.
    let offsets = (0..bytes.len()).filter(|offset| bytes[*offset] == 1);
    let is_refused = |offset: usize| {
        let mut changed = bytes.clone();
        changed[offset] = 2;
        matches!(decode(&changed), Err(WireError::UnsupportedVersion { found: 2 }))
    };
    assert_eq!(offsets.filter(|offset| is_refused(*offset)).count(), 1);
}

/// Returns the size of an unpacked message: the table of its segments and the segments.
fn unpacked_bytes(packed: &[u8]) -> usize {
    let message = serialize_packed::read_message(packed, ReaderOptions::new()).expect("the message is valid");
    let segments = message.into_segments();
    let sizes = (0..segments.len() as u32).map(|id| segments.get_segment(id).expect("the segment exists").len());
    (segments.len() / 2 + 1) * 8 + sizes.sum::<usize>()
}

/// Guards against a message that is unpacked although it exceeds the limit, and against a limit that refuses one of just
/// its size.
#[test]
fn messages_are_decoded_up_to_the_limit_on_their_unpacked_size() {
    for (_, message) in all_messages() {
        let packed = encode(&message);
        let size = unpacked_bytes(&packed);
        assert_eq!(decode_within(&packed, size).expect("decode a message of the limit's size"), message);
        let refused = decode_within(&packed, size - 1);
        assert!(matches!(refused, Err(WireError::TooLarge { bytes, .. }) if bytes == size), "{refused:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 8_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn damaged_bytes_never_panic(offset in any::<prop::sample::Index>(), message_index in any::<prop::sample::Index>(), bits in 1..=255_u8) {
        let messages = all_messages();
        let (_, message) = message_index.get(&messages);
        let mut bytes = encode(message);
        let offset = offset.index(bytes.len());
        bytes[offset] ^= bits;
        // Both a message and an error are valid results.
        let _ = decode(&bytes);
    }
}
