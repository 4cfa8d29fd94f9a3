//! Bodies of responses: whole, or pieces as they come.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use stallmoor_core::node::CallerAnswer;

use crate::callers::CallInProgress;

/// Turns an answer into bytes of the body.
pub type RenderAnswer = Box<dyn FnMut(CallerAnswer) -> Bytes + Send>;

/// The body of a response.
pub enum AnswerBody {
    /// All of it.
    Full(Option<Bytes>),
    /// Pieces as they come.
    Stream(Box<AnswerStream>),
}

/// A body that follows a call. Dropping it reports to the node that the caller is gone.
pub struct AnswerStream {
    /// Bytes that are ready before the next answer.
    pub ready: Option<Bytes>,
    /// The call.
    pub call: CallInProgress,
    /// How answers are written.
    pub render: RenderAnswer,
    /// Nothing follows.
    pub ended: bool,
}

impl AnswerBody {
    /// A whole body.
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
