//! Framing of messages between nodes: a little-endian 32-bit length followed by the encoded message.

use std::io;

use snafu::{ResultExt, Snafu};
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_wire::WireError;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum size of a frame with an answer, in bytes. Answers hold a part of a node's view or a page of results, unlike
/// replication messages, which may hold a whole job table.
pub const MAX_ANSWER_FRAME_BYTES: usize = 32 << 20;

/// Minimum limit on an unpacked message, in bytes. Small messages unpack to a multiple of their frame.
const MIN_MESSAGE_LIMIT: usize = 64 << 10;

/// Why no message could be read. The connection can't be used any longer.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// Reading failed, or the stream ended.
    #[snafu(display("{source}"))]
    Disconnected {
        /// Error of the stream.
        source: io::Error,
    },
    /// The frame exceeds the limit.
    #[snafu(display("a frame of {bytes} bytes, over the limit of {limit}"))]
    TooLarge {
        /// Size of the frame in bytes.
        bytes: usize,
        /// Maximum size of a frame in bytes.
        limit: usize,
    },
    /// The frame is not a valid message.
    #[snafu(display("{source}"))]
    Malformed {
        /// Error of the decoder.
        source: WireError,
    },
}

/// Writes an encoded message with its length, without flushing.
///
/// # Errors
///
/// Writing to the stream failed.
pub async fn write_frame(writer: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    writer.write_all(&(frame.len() as u32).to_le_bytes()).await?;
    writer.write_all(frame).await
}

/// Reads and decodes the next message, whose frame has up to `limit` bytes, both packed and unpacked.
///
/// # Errors
///
/// [`FrameError`]: reading failed, the stream ended, or the frame is too large or not a valid message.
pub async fn read_message(reader: &mut (impl AsyncRead + Unpin), limit: usize) -> Result<PeerMessage, FrameError> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await.context(DisconnectedSnafu)?;
    let bytes = u32::from_le_bytes(length) as usize;
    if bytes > limit {
        return TooLargeSnafu { bytes, limit }.fail();
    }
    // The buffer grows with the received data, so that a large length alone allocates no memory.
    let mut frame = Vec::new();
    let mut limited_reader = reader.take(bytes as u64);
    limited_reader.read_to_end(&mut frame).await.context(DisconnectedSnafu)?;
    if frame.len() < bytes {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof)).context(DisconnectedSnafu);
    }
    stallmoor_wire::decode_within(&frame, limit.max(MIN_MESSAGE_LIMIT)).context(MalformedSnafu)
}
