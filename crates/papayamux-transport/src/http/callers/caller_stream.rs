//! The byte stream of a caller's connection, with its timeouts and its account.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use papayamux_coordination::caller_memory::HolderStage;
use papayamux_state::quantities::ByteCount;

use super::caller_connection::CallerConnection;
use crate::shutdown::SignalWait;

/// Maximum number of bytes of a body's framing between two pieces of it, with what is read ahead.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 128 * 1024;

/// Timeouts of a caller's connection, and what an unread answer costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::http) struct StreamLimits {
    /// For the first byte of a head.
    pub(in crate::http) idle: Duration,
    /// For a complete head, from its first byte on.
    pub(in crate::http) head: Duration,
    /// For a write, of which the other side accepts nothing.
    pub(in crate::http) write: Duration,
    /// What is buffered of an answer while the other side accepts nothing.
    pub(in crate::http) unread_bytes: ByteCount,
}

/// Wraps the connection of a caller. Ends reading when a timeout passes or the caller is evicted, and fails a write
/// of which the caller accepts nothing for too long.
pub(in crate::http) struct CallerStream<S> {
    inner: S,
    connection: Rc<CallerConnection>,
    limits: Rc<dyn Fn() -> StreamLimits>,
    read_timer: Option<(HeadProgress, Pin<Box<monoio::time::Sleep>>)>,
    stall_timer: Option<Pin<Box<monoio::time::Sleep>>>,
    evicted: SignalWait,
    /// When the first byte of the head arrived that is being received.
    head_start: Instant,
    /// The stage at the last read.
    stage: HolderStage,
    /// The stage before the caller stopped reading.
    stage_before_stall: HolderStage,
}

/// What a connection without a complete head waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadProgress {
    FirstByte,
    Completion,
}

impl<S> CallerStream<S> {
    pub(in crate::http) fn new(
        inner: S,
        connection: Rc<CallerConnection>,
        limits: Rc<dyn Fn() -> StreamLimits>,
    ) -> Self {
        let evicted = connection.evicted().triggered();
        Self {
            inner,
            connection,
            limits,
            read_timer: None,
            stall_timer: None,
            evicted,
            head_start: Instant::now(),
            stage: HolderStage::Waiting,
            stage_before_stall: HolderStage::Waiting,
        }
    }

    pub(in crate::http) fn into_inner(self) -> S {
        self.inner
    }

    /// Resets what was counted in an earlier stage.
    fn update_stage(&mut self) {
        let stage = self.connection.stage();
        if std::mem::replace(&mut self.stage, stage) != stage {
            self.read_timer = None;
        }
    }

    /// Counts received bytes. Fails if there is no memory for them, or too many came without progress.
    fn record_received(&mut self, count: usize) -> io::Result<()> {
        if self.stage != HolderStage::Waiting {
            let unproductive = self.connection.add_bytes_without_progress(count);
            return match unproductive > MAX_BYTES_WITHOUT_PROGRESS {
                true => Err(io::Error::other("too many bytes without a piece of the body")),
                false => Ok(()),
            };
        }
        if self.connection.add_head_bytes(count).map_err(io::Error::other)? {
            self.head_start = Instant::now();
        }
        Ok(())
    }

    /// Returns whether the timeout of an idle connection or of an incomplete head has passed.
    fn poll_read_timeout(&mut self, context: &mut Context<'_>) -> bool {
        let progress = match self.connection.has_partial_head() {
            false => HeadProgress::FirstByte,
            true => HeadProgress::Completion,
        };
        if !matches!(&self.read_timer, Some((awaited, _)) if *awaited == progress) {
            let limits = (self.limits)();
            let limit = match progress {
                HeadProgress::FirstByte => limits.idle,
                HeadProgress::Completion => limits.head.saturating_sub(self.head_start.elapsed()),
            };
            self.read_timer = Some((progress, Box::pin(monoio::time::sleep(limit))));
        }
        let timer = self.read_timer.as_mut();
        timer.is_some_and(|(_, sleep)| sleep.as_mut().poll(context).is_ready())
    }

    fn poll_evicted(&mut self, context: &mut Context<'_>) -> bool {
        Pin::new(&mut self.evicted).poll(context).is_ready()
    }

    /// Records whether the caller reads its answer. Fails if it doesn't for too long, or is evicted meanwhile.
    fn check_write<T>(
        &mut self,
        context: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            if self.stall_timer.take().is_some() && self.connection.stage() == HolderStage::Unread {
                self.connection.set_stage(self.stage_before_stall);
            }
            return progress;
        }
        if self.poll_evicted(context) {
            return Poll::Ready(Err(io::Error::other("the caller reads nothing and was evicted")));
        }
        let limits = (self.limits)();
        let limit = self.connection.stall_limit(limits.write);
        if self.stall_timer.is_none() {
            self.connection.charge_unread(limits.unread_bytes);
            self.stage_before_stall = self.connection.stage();
            self.connection.set_stage(HolderStage::Unread);
        }
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

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &mut *self;
        stream.update_stage();
        let filled = buffer.filled().len();
        // What has arrived is read first, so that a pause of this process costs no caller its connection.
        match Pin::new(&mut stream.inner).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                Poll::Ready(stream.record_received(buffer.filled().len() - filled))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending if stream.stage != HolderStage::Waiting => Poll::Pending,
            Poll::Pending if stream.poll_evicted(context) || stream.poll_read_timeout(context) => {
                Poll::Ready(Ok(()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check_write(context, progress)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.inner).poll_flush(context);
        let is_idle = self.connection.stage() == HolderStage::Waiting;
        if is_idle && progress.is_ready() && !self.connection.has_partial_head() {
            self.connection.finish_exchange();
        }
        self.check_write(context, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.inner).poll_shutdown(context);
        self.check_write(context, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.check_write(context, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
