//! Bodies of answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;

/// The error of a truncated body. The connection is then closed early, so that the caller can
/// detect the truncation.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the answer was cut off: {0}")]
pub struct BodyError(pub String);

/// The body of an answer: complete, or a stream that is read at the pace of the receiver.
pub enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// A stream of pieces.
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>),
}

impl From<Vec<u8>> for AnswerBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Whole(bytes.into())
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Stream(stream) => stream
                .as_mut()
                .poll_next(context)
                .map(|piece| piece.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
