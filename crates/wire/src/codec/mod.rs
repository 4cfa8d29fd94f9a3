//! Encoding and decoding of complete messages.

mod control;
mod membership;
mod packed;
mod replication;

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;
use snafu::{ResultExt, Snafu};
use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::PeerMessage;

use crate::PROTOCOL_VERSION;
use crate::generated::peer_capnp::envelope;

/// An error decoding a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The bytes are not a valid Cap'n Proto message, or are truncated.
    #[snafu(display("not a whole message: {source}"))]
    Malformed {
        /// The error of the Cap'n Proto library.
        source: capnp::Error,
    },
    /// A text field is not valid UTF-8.
    #[snafu(display("a text is not UTF-8: {source}"))]
    InvalidUtf8 {
        /// The error, with the position of the first invalid byte.
        source: std::str::Utf8Error,
    },
    /// The message, or a union in it, has a variant that is not in the schema.
    #[snafu(display("unknown kind of message: {source}"))]
    UnknownKind {
        /// The discriminant of the variant.
        source: capnp::NotInSchema,
    },
    /// The message has another protocol version than [`PROTOCOL_VERSION`].
    #[snafu(display("protocol version {found}, not {PROTOCOL_VERSION}"))]
    UnsupportedVersion {
        /// Protocol version of the message.
        found: u16,
    },
    /// The unpacked message exceeds the limit.
    #[snafu(display("a message of {bytes} bytes, over the limit of {limit}"))]
    TooLarge {
        /// Size of the unpacked message in bytes.
        bytes: usize,
        /// Maximum size of an unpacked message in bytes.
        limit: usize,
    },
    /// A field has an invalid value.
    #[snafu(display("{field} holds a value that it must not"))]
    InvalidField {
        /// Path of the field in the schema.
        field: &'static str,
    },
}

pub(crate) type WireResult<T> = Result<T, WireError>;

/// Encodes a message as one envelope.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<envelope::Builder<'_>>();
    root.set_version(PROTOCOL_VERSION);
    write_message(root.init_message(), message);
    let mut bytes = Vec::new();
    // Writing to memory does not fail. If it did, the receiver would reject the empty message.
    if serialize_packed::write_message(&mut bytes, &builder).is_err() {
        bytes.clear();
    }
    bytes
}

/// Decodes one envelope.
///
/// # Errors
///
/// The bytes are not a complete, valid message of this protocol version.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, WireError> {
    decode_within(bytes, crate::MAX_FRAME_BYTES)
}

/// Like [`decode`], for messages of which the sender is known to send only shorter ones. Runs of zeros are packed to a
/// thousandth, so that the size of a frame does not limit the memory of its message.
///
/// # Errors
///
/// The unpacked message has more than `limit` bytes, or [`decode`] fails.
pub fn decode_within(bytes: &[u8], limit: usize) -> Result<PeerMessage, WireError> {
    let unpacked = packed::unpacked_bytes(bytes);
    if unpacked > limit {
        return Err(WireError::TooLarge { bytes: unpacked, limit });
    }
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(crate::MAX_FRAME_BYTES / 8));
    let reader = serialize_packed::read_message(bytes, options).context(MalformedSnafu)?;
    let root = reader.get_root::<envelope::Reader<'_>>().context(MalformedSnafu)?;
    if root.get_version() != PROTOCOL_VERSION {
        return Err(WireError::UnsupportedVersion { found: root.get_version() });
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
        Which::Membership(message) => PeerMessage::Membership(membership::read(message.context(MalformedSnafu)?)?),
        Which::Replication(message) => PeerMessage::Replication(replication::read(message.context(MalformedSnafu)?)?),
        Which::GroupRequest(request) => {
            PeerMessage::GroupRequest(control::read_request(request.context(MalformedSnafu)?)?)
        }
        Which::GroupAnswer(answer) => PeerMessage::GroupAnswer(control::read_answer(answer.context(MalformedSnafu)?)?),
        Which::Configuration(message) => {
            PeerMessage::Configuration(control::read_configuration(message.context(MalformedSnafu)?)?)
        }
        Which::Credit(message) => PeerMessage::Credit(control::read_credit(message.context(MalformedSnafu)?)?),
        Which::EnginesLeaving(facts) => {
            PeerMessage::EnginesLeaving(control::read_leaving(facts.context(MalformedSnafu)?)?)
        }
        Which::DirectoryRequest(from) => PeerMessage::DirectoryRequest { from: NodeId(from) },
        Which::DirectoryAnswer(answer) => control::read_directory(answer.context(MalformedSnafu)?)?,
        Which::StatusRequest(request) => {
            let request = request.context(MalformedSnafu)?;
            PeerMessage::StatusRequest { from: NodeId(request.get_from()), id: request.get_id() }
        }
        Which::StatusAnswer(answer) => {
            let answer = answer.context(MalformedSnafu)?;
            let status = control::decode_body(answer.get_status().context(MalformedSnafu)?, "status")?;
            PeerMessage::StatusAnswer { id: answer.get_id(), status }
        }
    })
}

pub(crate) fn read_text(text: capnp::Result<capnp::text::Reader<'_>>) -> WireResult<&str> {
    text.context(MalformedSnafu)?.to_str().context(InvalidUtf8Snafu)
}

/// Reads an optional node ID, which is encoded as 0 if absent.
pub(crate) fn read_optional_node(value: u64) -> Option<NodeId> {
    (value != 0).then_some(NodeId(value))
}

/// Encodes an optional node ID, as 0 if absent.
pub(crate) fn write_optional_node(node: Option<NodeId>) -> u64 {
    node.map_or(0, |node| node.0)
}
