//! Checks that messages of every kind round-trip through the wire format, and that invalid bytes yield an error.

#[path = "../../core/tests/support/golden_values.rs"]
mod golden_values;
mod support;

use proptest::prelude::*;
use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_wire::{WireError, decode, encode};
use support::all_messages;

#[test]
fn every_message_kind_round_trips() {
    for (_, message) in all_messages() {
        let decoded = decode(&encode(&message)).expect("decode an encoded message");
        assert_eq!(decoded, message);
    }
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
