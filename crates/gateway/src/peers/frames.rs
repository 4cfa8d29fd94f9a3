//! Messages between nodes as frames on a TCP stream: a length of four bytes, then that many bytes.

use std::io;

use stallmoor_core::peer_message::PeerMessage;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Writes a frame.
///
/// # Errors
///
/// The stream broke.
pub async fn write_frame(writer: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    writer.write_all(&(frame.len() as u32).to_le_bytes()).await?;
    writer.write_all(frame).await
}

/// Reads a message.
///
/// # Errors
///
/// The stream ended, broke, or brought what is no message.
pub async fn read_message(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<PeerMessage> {
    let mut length = [0; 4];
    reader.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > stallmoor_wire::MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "a frame over the limit"));
    }
    // Read piece by piece, so that a length without bytes behind it costs no memory.
    let mut frame = Vec::new();
    let mut limited_reader = reader.take(length as u64);
    limited_reader.read_to_end(&mut frame).await?;
    if frame.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    stallmoor_wire::decode(&frame).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}
