//! The body of a request, in segments that are sent without being copied together.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

use super::callers::MemoryHold;

/// A complete body. Clones share its segments and its place in the callers' memory.
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    segments: Rc<Vec<Bytes>>,
    /// Accounts for the segments if a caller sent them.
    _hold: Option<Rc<MemoryHold>>,
    /// Index of the next segment to send.
    next: usize,
}

impl RequestBody {
    pub(super) fn new(segments: Vec<Bytes>, hold: MemoryHold) -> Self {
        Self { segments: Rc::new(segments), _hold: Some(Rc::new(hold)), next: 0 }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> Vec<&[u8]> {
        self.segments.iter().map(Bytes::as_ref).collect()
    }

    /// Returns the body as one piece, which is a copy unless it has a single segment.
    pub fn to_bytes(&self) -> Bytes {
        match self.segments.as_slice() {
            [] => Bytes::new(),
            [only] => only.clone(),
            segments => {
                let mut whole = BytesMut::with_capacity(self.len());
                segments.iter().for_each(|segment| whole.extend_from_slice(segment));
                whole.freeze()
            }
        }
    }

    fn unsent(&self) -> &[Bytes] {
        self.segments.get(self.next..).unwrap_or_default()
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        let segments = if bytes.is_empty() { Vec::new() } else { vec![bytes] };
        Self { segments: Rc::new(segments), _hold: None, next: 0 }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.unsent().first().cloned();
        self.next += 1;
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent().is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent().iter().map(|segment| segment.len() as u64).sum())
    }
}
