//! Compares encoded messages with a golden file. Guards against encoding changes that keep nodes of different versions
//! from understanding each other.

#[path = "../../core/tests/support/golden.rs"]
mod golden;
#[path = "../../core/tests/support/golden_values.rs"]
mod golden_values;
mod support;

use stallmoor_wire::{decode, encode};

#[test]
fn peer_message_encoding_is_unchanged() {
    let messages = support::all_messages();
    let messages: Vec<_> = messages.iter().map(|(name, message)| (name.as_str(), message.clone())).collect();
    golden::check_bytes("messages.txt", &messages, encode, |bytes| decode(bytes).ok());
}
