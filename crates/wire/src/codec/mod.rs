//! Encoding and decoding of whole messages.

mod control;
mod membership;
mod replication;

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;
use snafu::{ResultExt, Snafu};
use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::PeerMessage;

use crate::PROTOCOL_VERSION;
use crate::generated::peer_capnp::envelope;

/// Why bytes are not a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The bytes are not a Cap'n Proto message, or end too early.
    #[snafu(display("not a whole message: {source}"))]
    Damaged {
        /// What the library found.
        source: capnp::Error,
    },
    /// A text is not UTF-8.
    #[snafu(display("a text is not UTF-8: {source}"))]
    NotText {
        /// Where.
        source: std::str::Utf8Error,
    },
    /// The message has a kind that this version doesn't know.
    #[snafu(display("unknown kind of message: {source}"))]
    UnknownKind {
        /// Which.
        source: capnp::NotInSchema,
    },
    /// The sender speaks another version.
    #[snafu(display("protocol version {found}, not {PROTOCOL_VERSION}"))]
    OtherVersion {
        /// Its version.
        found: u16,
    },
    /// A field holds what it must not.
    #[snafu(display("{field} holds a value that it must not"))]
    InvalidField {
        /// Which.
        field: &'static str,
    },
}

/// Shorthand for results of this module.
pub(crate) type WireResult<T> = Result<T, WireError>;

/// Encodes a message.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<envelope::Builder<'_>>();
    root.set_version(PROTOCOL_VERSION);
    write_message(root.init_message(), message);
    let mut bytes = Vec::new();
    // Writing to memory can't fail; an empty message would be refused by its reader.
    if serialize_packed::write_message(&mut bytes, &builder).is_err() {
        bytes.clear();
    }
    bytes
}

/// Decodes a message.
///
/// # Errors
///
/// A [`WireError`] if the bytes are not a whole message of this version.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, WireError> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(crate::MAX_FRAME_BYTES / 8));
    let reader = serialize_packed::read_message(bytes, options).context(DamagedSnafu)?;
    let root = reader.get_root::<envelope::Reader<'_>>().context(DamagedSnafu)?;
    if root.get_version() != PROTOCOL_VERSION {
        return Err(WireError::OtherVersion { found: root.get_version() });
    }
    read_message(root.get_message())
}

fn write_message(mut builder: envelope::message::Builder<'_>, message: &PeerMessage) {
    match message {
        PeerMessage::Membership(message) => membership::write(builder.init_membership(), message),
        PeerMessage::Replication(message) => replication::write(builder.init_replication(), message),
        PeerMessage::GroupRequest(request) => control::write_request(builder.init_group_request(), request),
        PeerMessage::GroupAnswer(answer) => control::write_answer(builder.init_group_answer(), answer),
        PeerMessage::Configuration(message) => control::write_configuration(builder.init_configuration(), message),
        PeerMessage::Credit(message) => control::write_credit(builder.init_credit(), message),
        PeerMessage::EnginesLeaving(facts) => {
            control::write_leaving(builder.init_engines_leaving(facts.len() as u32), facts);
        }
        PeerMessage::DirectoryRequest { from } => builder.set_directory_request(from.0),
        PeerMessage::DirectoryAnswer { group_count, entries } => {
            control::write_directory(builder.init_directory_answer(), *group_count, entries);
        }
        PeerMessage::StatusRequest { from, id } => {
            let mut request = builder.init_status_request();
            request.set_from(from.0);
            request.set_id(*id);
        }
        PeerMessage::StatusAnswer { id, status } => {
            let mut answer = builder.init_status_answer();
            answer.set_id(*id);
            answer.set_status(&control::encode_body(status));
        }
    }
}

fn read_message(reader: envelope::message::Reader<'_>) -> WireResult<PeerMessage> {
    use envelope::message::Which;
    Ok(match reader.which().context(UnknownKindSnafu)? {
        Which::Membership(message) => PeerMessage::Membership(membership::read(message.context(DamagedSnafu)?)?),
        Which::Replication(message) => PeerMessage::Replication(replication::read(message.context(DamagedSnafu)?)?),
        Which::GroupRequest(request) => {
            PeerMessage::GroupRequest(control::read_request(request.context(DamagedSnafu)?)?)
        }
        Which::GroupAnswer(answer) => PeerMessage::GroupAnswer(control::read_answer(answer.context(DamagedSnafu)?)?),
        Which::Configuration(message) => {
            PeerMessage::Configuration(control::read_configuration(message.context(DamagedSnafu)?)?)
        }
        Which::Credit(message) => PeerMessage::Credit(control::read_credit(message.context(DamagedSnafu)?)?),
        Which::EnginesLeaving(facts) => {
            PeerMessage::EnginesLeaving(control::read_leaving(facts.context(DamagedSnafu)?)?)
        }
        Which::DirectoryRequest(from) => PeerMessage::DirectoryRequest { from: NodeId(from) },
        Which::DirectoryAnswer(answer) => control::read_directory(answer.context(DamagedSnafu)?)?,
        Which::StatusRequest(request) => {
            let request = request.context(DamagedSnafu)?;
            PeerMessage::StatusRequest { from: NodeId(request.get_from()), id: request.get_id() }
        }
        Which::StatusAnswer(answer) => {
            let answer = answer.context(DamagedSnafu)?;
            let status = control::decode_body(answer.get_status().context(DamagedSnafu)?, "status")?;
            PeerMessage::StatusAnswer { id: answer.get_id(), status }
        }
    })
}

/// Reads a text.
pub(crate) fn read_text(text: capnp::Result<capnp::text::Reader<'_>>) -> WireResult<&str> {
    text.context(DamagedSnafu)?.to_str().context(NotTextSnafu)
}

/// Reads an identity where 0 stands for none.
pub(crate) fn read_optional_node(value: u64) -> Option<NodeId> {
    (value != 0).then_some(NodeId(value))
}

/// Writes an identity where 0 stands for none.
pub(crate) fn write_optional_node(node: Option<NodeId>) -> u64 {
    node.map_or(0, |node| node.0)
}
