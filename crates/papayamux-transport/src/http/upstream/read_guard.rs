//! Connection wrapper that bounds what a server may send without making progress on an answer.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes between two steps of progress: the head of an answer and each piece of its
/// body. It covers a head with interim answers before it, and the pieces that are read ahead.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 512 * 1024;

/// Counts the bytes received since the last progress. Clones share the count.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadProgress(Rc<Cell<usize>>);

impl ReadProgress {
    /// Records that a head or a piece of a body was received, or that a request begins.
    pub(super) fn record(&self) {
        self.0.set(0);
    }

    /// Returns whether the connection failed because the server exceeded the limit.
    pub(super) fn is_exceeded(&self) -> bool {
        self.0.get() > MAX_BYTES_WITHOUT_PROGRESS
    }

    fn add(&self, received: usize) {
        self.0.set(self.0.get().saturating_add(received));
    }
}

/// Wraps a connection and fails a read once the server has sent too much without progress.
///
/// The HTTP library reads interim answers and the framing of chunks for as long as they arrive, within
/// one poll, so that neither a timeout nor any other task gets its turn.
pub(super) struct ReadGuard<S> {
    inner: S,
    progress: ReadProgress,
}

impl<S> ReadGuard<S> {
    /// Creates a wrapper around `inner` that counts into `progress`.
    pub(super) fn new(inner: S, progress: ReadProgress) -> Self {
        Self { inner, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.progress.add(buffer.filled().len() - filled);
        if self.progress.is_exceeded() {
            let message =
                format!("{MAX_BYTES_WITHOUT_PROGRESS} bytes without progress on an answer");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
