//! The body of an answer to a caller: either complete, or streamed from a worker.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Maximum number of chunks buffered for a slow caller. While the buffer is full, the worker's connection is not read.
const MAX_BUFFERED_CHUNKS: usize = 32;

/// Error of an answer that could not be completed. Closes the connection, so that the caller can detect the truncation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("answer aborted before it was complete")
    }
}

impl std::error::Error for Aborted {}

/// Sends the chunks of a streamed answer.
pub type ChunkSender = mpsc::Sender<Result<Bytes, Aborted>>;

/// The body of an answer.
pub enum AnswerBody {
    /// A complete body; `None` if it is empty or already sent.
    Full(Option<Bytes>),
    /// A streamed body.
    Chunks(mpsc::Receiver<Result<Bytes, Aborted>>),
}

impl AnswerBody {
    /// Creates a body from complete content.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Creates a streamed body and the sender of its chunks.
    pub fn channel() -> (ChunkSender, Self) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (sender, Self::Chunks(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(receiver) => {
                receiver.poll_recv(context).map(|chunk| chunk.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
