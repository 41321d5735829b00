//! Connection wrapper whose writes must make progress.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};

/// Wraps a connection and fails a write if the other side accepts nothing for a set time.
///
/// Reads have no time limit, because a caller that waits for a slow answer sends nothing.
pub struct StallGuard<S> {
    inner: S,
    limit: Duration,
    stall_timer: Option<Pin<Box<monoio::time::Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Creates a wrapper around `inner` in which a write may wait for at most `limit`.
    pub fn new(inner: S, limit: Duration) -> Self {
        Self { inner, limit, stall_timer: None }
    }

    fn check_progress<T>(
        &mut self,
        context: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.stall_timer = None;
            return progress;
        }
        let limit = self.limit;
        let sleep = self.stall_timer.get_or_insert_with(|| Box::pin(monoio::time::sleep(limit)));
        match sleep.as_mut().poll(context) {
            Poll::Ready(()) => {
                let message = format!("the other side accepted no data for {limit:?}");
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: Read + Unpin> Read for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: Write + Unpin> Write for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check_progress(context, progress)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.inner).poll_flush(context);
        self.check_progress(context, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.inner).poll_shutdown(context);
        self.check_progress(context, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.check_progress(context, progress)
    }
}
