//! Framing of messages between nodes: a little-endian 32-bit length followed by the encoded message.

use std::io;

use stallmoor_core::peer_message::PeerMessage;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Writes an encoded message with its length, without flushing.
///
/// # Errors
///
/// Writing to the stream failed.
pub async fn write_frame(writer: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    writer.write_all(&(frame.len() as u32).to_le_bytes()).await?;
    writer.write_all(frame).await
}

/// Reads and decodes the next message.
///
/// # Errors
///
/// Reading failed, the stream ended, or the frame is too large or not a valid message.
pub async fn read_message(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<PeerMessage> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > stallmoor_wire::MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "a frame over the limit"));
    }
    // The buffer grows with the received data, so that a large length alone allocates no memory.
    let mut frame = Vec::new();
    let mut limited_reader = reader.take(length as u64);
    limited_reader.read_to_end(&mut frame).await?;
    if frame.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    stallmoor_wire::decode(&frame).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}
