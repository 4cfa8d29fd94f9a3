//! The body of an answer to a caller: either complete, or streamed from a worker.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::workers::answer_memory::HeldMemory;
use crate::workers::unread_answers::UnreadAnswers;

/// Maximum number of chunks buffered for a slow caller. While the buffer is full, the worker's connection is not read.
const MAX_BUFFERED_CHUNKS: usize = 32;
/// Maximum size of these chunks in bytes. A longer chunk is buffered alone.
const MAX_BUFFERED_BYTES: u32 = 65_536;

/// Error of an answer that could not be completed. Closes the connection, so that the caller can detect the truncation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("answer aborted before it was complete")
    }
}

impl std::error::Error for Aborted {}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// Sends the chunks of a streamed answer, which is broken off if the sender is dropped before
/// [`ChunkSender::complete`].
pub struct ChunkSender {
    chunks: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
    /// Bytes that may be buffered.
    capacity: Arc<Semaphore>,
}

impl ChunkSender {
    /// Sends a chunk as soon as there is room for it.
    ///
    /// # Errors
    ///
    /// [`Disconnected`]: nobody reads the answer.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        let chunk = self.reserve(chunk).await;
        self.chunks.send(chunk).await.map_err(|_| Disconnected)
    }

    /// Ends the answer as whole after the chunks sent so far.
    pub fn complete(self) {
        self.is_complete.store(true, Ordering::Release);
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Waits until there is room for a chunk, which it takes until the chunk is written.
    async fn reserve(&self, bytes: Bytes) -> Bytes {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX).min(MAX_BUFFERED_BYTES);
        // Chunks that are dropped with a disconnected caller's answer make room, and the semaphore is never closed.
        let permit = self.capacity.clone().acquire_many_owned(size).await.ok();
        Bytes::from_owner(BufferedChunk { bytes, _permit: permit })
    }
}

/// A chunk that takes room until it is dropped.
struct BufferedChunk {
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for BufferedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is held completely.
#[derive(Default)]
pub struct CompleteBody {
    parts: Parts,
    /// Bytes that were not sent yet.
    remaining: u64,
}

/// The parts of a complete body that were not sent yet.
enum Parts {
    /// A body that is too short to count, if any.
    Short(VecDeque<Bytes>),
    /// A body that may be ended if its caller does not read it.
    Long { answers: Arc<UnreadAnswers>, number: u64 },
}

impl Default for Parts {
    fn default() -> Self {
        Self::Short(VecDeque::new())
    }
}

impl Drop for Parts {
    fn drop(&mut self) {
        if let Self::Long { answers, number } = self {
            answers.remove(*number);
        }
    }
}

impl CompleteBody {
    /// Creates a body that holds `memory`.
    pub fn new(parts: impl IntoIterator<Item = Bytes>, memory: HeldMemory) -> Self {
        let parts: VecDeque<Bytes> = parts.into_iter().collect();
        let remaining = parts.iter().map(|part| part.len() as u64).sum();
        if memory.bytes() == 0 {
            return Self { parts: Parts::Short(parts), remaining };
        }
        let answers = memory.unread_answers();
        let number = answers.insert(parts, memory);
        Self { parts: Parts::Long { answers, number }, remaining }
    }

    /// Removes the next part and releases the memory that it held.
    fn take_next(&mut self) -> Option<Result<Bytes, Aborted>> {
        if self.remaining == 0 {
            return None;
        }
        let part = match &mut self.parts {
            Parts::Short(parts) => parts.pop_front(),
            Parts::Long { answers, number } => answers.take_next(*number).ok().flatten(),
        };
        let Some(part) = part else { return Some(Err(Aborted)) };
        self.remaining = self.remaining.saturating_sub(part.len() as u64);
        Some(Ok(part))
    }
}

/// Receives the chunks of a streamed answer.
pub struct ChunkReceiver {
    chunks: mpsc::Receiver<Bytes>,
    /// Whether the chunks are the whole answer once all were received.
    is_complete: Arc<AtomicBool>,
}

impl ChunkReceiver {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Aborted>>> {
        self.chunks.poll_recv(context).map(|chunk| match chunk {
            Some(bytes) => Some(Ok(bytes)),
            None if self.is_complete.load(Ordering::Acquire) => None,
            None => Some(Err(Aborted)),
        })
    }
}

/// The body of an answer.
pub enum AnswerBody {
    /// A complete body.
    Full(CompleteBody),
    /// A streamed body.
    Chunks(ChunkReceiver),
}

impl AnswerBody {
    /// Creates a body from complete content.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let remaining = bytes.len() as u64;
        Self::Full(CompleteBody { parts: Parts::Short(VecDeque::from([bytes])), remaining })
    }

    /// Creates a streamed body and the sender of its chunks.
    pub fn channel() -> (ChunkSender, Self) {
        let (chunks, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let capacity = Arc::new(Semaphore::new(MAX_BUFFERED_BYTES as usize));
        let is_complete = Arc::new(AtomicBool::new(false));
        let sender = ChunkSender { chunks, is_complete: is_complete.clone(), capacity };
        (sender, Self::Chunks(ChunkReceiver { chunks: receiver, is_complete }))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut *self {
            Self::Full(body) => Poll::Ready(body.take_next().map(|part| part.map(Frame::data))),
            Self::Chunks(receiver) => {
                receiver.poll_chunk(context).map(|chunk| chunk.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(body) if body.remaining == 0)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => SizeHint::with_exact(body.remaining),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
