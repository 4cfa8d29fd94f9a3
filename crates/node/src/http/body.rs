//! Response bodies, complete or streamed.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use stallmoor_core::node::CallerAnswer;

use crate::callers::CallInProgress;

/// Serializes an answer into bytes of the body.
pub type RenderAnswer = Box<dyn FnMut(CallerAnswer) -> Bytes + Send>;

/// A response body.
pub enum AnswerBody {
    /// A complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// A body that is sent as answers arrive.
    Stream(Box<AnswerStream>),
}

/// A body that streams the answers to a call. Dropping it before the final answer cancels the call.
pub struct AnswerStream {
    /// Bytes to send before polling for the next answer.
    pub ready: Option<Bytes>,
    /// The call that provides the answers.
    pub call: CallInProgress,
    /// Serializer of answers.
    pub render: RenderAnswer,
    /// Whether the final answer has been received.
    pub ended: bool,
}

impl AnswerBody {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll(context).map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.ended && stream.ready.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

impl AnswerStream {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if let Some(bytes) = self.ready.take() {
            return Poll::Ready(Some(bytes));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        match self.call.poll_next(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(answer)) => {
                self.ended = answer.is_final();
                Poll::Ready(Some((self.render)(answer)))
            }
        }
    }
}
