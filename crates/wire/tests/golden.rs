//! Messages between nodes against a golden file: nodes of this version and earlier ones understand each other.

#[path = "../../core/tests/support/golden.rs"]
mod golden;
#[path = "../../core/tests/support/golden_values.rs"]
mod golden_values;
mod support;

use stallmoor_wire::{decode, encode};

#[test]
fn messages_between_nodes_are_as_ever() {
    let messages = support::all_messages();
    let messages: Vec<_> = messages.iter().map(|(name, message)| (name.as_str(), message.clone())).collect();
    golden::check_bytes("messages.txt", &messages, encode, |bytes| decode(bytes).ok());
}
