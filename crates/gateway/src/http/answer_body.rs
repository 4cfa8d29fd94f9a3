//! The body of an answer to a caller: whole, or in pieces as they come from a worker.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Most pieces of a stream that wait for a caller that reads slowly; the worker's connection isn't read meanwhile.
const MAX_BUFFERED_CHUNKS: usize = 32;

/// The answer could not be completed; the connection is closed so that it does not look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer broke off")
    }
}

impl std::error::Error for Aborted {}

/// Sends the pieces of a streamed answer.
pub type ChunkSender = mpsc::Sender<Result<Bytes, Aborted>>;

/// A body that is known whole, or comes in pieces.
pub enum AnswerBody {
    /// Whole.
    Full(Option<Bytes>),
    /// In pieces.
    Chunks(mpsc::Receiver<Result<Bytes, Aborted>>),
}

impl AnswerBody {
    /// A whole body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// A body in pieces, and where to send them.
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
