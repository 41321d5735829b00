//! A connection to a server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::future::{select, Either};
use http::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use monoio::io::IntoPollIo;
use monoio_compat::hyper::MonoioIo;
use thiserror::Error;

use super::bounded_connect::connect_bounded;
use super::read_guard::{ReadGuard, ReadProgress};
use crate::http::RequestBody;
use crate::keepalive::set_stream_options;

/// Maximum size of the head of an answer, and of what is read of a body at once.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The error of sending a request or receiving its answer.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// No connection could be opened within the timeout; nothing was sent.
    #[error("connecting to {address}: {source}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The connection had ended before any part of the request was written.
    #[error("the connection to {address} had ended before the request was sent")]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The connection failed after sending had begun.
    #[error("the connection to {address} failed: {source}")]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// Cause of the failure.
        source: hyper::Error,
    },
    /// The server sent too many bytes that are no head of an answer.
    #[error("{address} sends bytes that are no answer")]
    NoAnswer {
        /// Address of the server.
        address: SocketAddr,
    },
}

impl UpstreamError {
    /// Returns whether the request can't have reached the server, not even partially.
    pub fn nothing_was_sent(&self) -> bool {
        !matches!(self, UpstreamError::Broken { .. } | UpstreamError::NoAnswer { .. })
    }
}

/// An open connection. Dropping it closes the socket immediately, even during an answer.
pub(in crate::http) struct UpstreamConnection {
    address: SocketAddr,
    sender: SendRequest<RequestBody>,
    _open: oneshot::Sender<()>,
    progress: ReadProgress,
    /// Time that connecting took, until it is taken.
    connect_time: Option<Duration>,
    /// Time at which it was last returned to the pool.
    pub(super) idle_since: Instant,
    /// Time for which it may be idle.
    pub(super) idle_timeout: Duration,
}

impl UpstreamConnection {
    /// Opens a connection within `limit`.
    pub(super) async fn open(address: SocketAddr, limit: Duration) -> Result<Self, UpstreamError> {
        let connect_error = |source| UpstreamError::Connect { address, source };
        let started_at = Instant::now();
        let connecting = monoio::time::timeout(limit, connect_bounded(address));
        let stream = match connecting.await {
            Ok(result) => result.map_err(connect_error)?,
            Err(_) => {
                let message = format!("no answer within {limit:?}");
                let error = std::io::Error::new(std::io::ErrorKind::TimedOut, message);
                return Err(connect_error(error));
            }
        };
        let connect_time = Some(started_at.elapsed());
        set_stream_options(&stream).map_err(connect_error)?;
        let progress = ReadProgress::default();
        let stream = stream.into_poll_io().map_err(connect_error)?;
        let io = MonoioIo::new(ReadGuard::new(stream, progress.clone()));
        let handshake = Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io);
        let (sender, connection) =
            handshake.await.map_err(|source| UpstreamError::Broken { address, source })?;
        let (open, dropped) = oneshot::channel::<()>();
        monoio::spawn(async move {
            match select(connection, dropped).await {
                Either::Left((Ok(()), _)) | Either::Right(_) => {}
                Either::Left((Err(error), _)) => {
                    log::debug!(address:% = address, error:% = error; "server connection failed");
                }
            }
        });
        let now = Instant::now();
        Ok(Self {
            address,
            sender,
            _open: open,
            progress,
            connect_time,
            idle_since: now,
            idle_timeout: Duration::ZERO,
        })
    }

    /// Returns the address of the server.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time that connecting took on the first call, then `None`.
    pub(super) fn take_connect_time(&mut self) -> Option<Duration> {
        self.connect_time.take()
    }

    /// Returns whether the connection can take a request now: it is open, has no request in flight
    /// and has received no unsolicited bytes.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Records that a piece of an answer's body was received.
    pub(super) fn record_progress(&self) {
        self.progress.record();
    }

    /// Returns whether the connection failed because the server sent too much without progress.
    pub(super) fn is_without_progress(&self) -> bool {
        self.progress.is_exceeded()
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<http::Response<Incoming>, UpstreamError> {
        let address = self.address;
        // A new connection accepts its first request immediately, and the pool hands out others
        // only when they are ready. Waiting for readiness here would wake this task at each poll if
        // the compiler has made two copies of its waker's vtable, and would starve all other tasks.
        self.progress.record();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.progress.record();
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(UpstreamError::NotSent { address }),
                None if self.is_without_progress() => Err(UpstreamError::NoAnswer { address }),
                None => Err(UpstreamError::Broken { address, source: error.into_error() }),
            },
        }
    }
}
