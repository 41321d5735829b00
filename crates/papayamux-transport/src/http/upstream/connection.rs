//! One connection to a server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{select, Either};
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use thiserror::Error;

use crate::keepalive::set_stream_options;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// No connection could be opened in time: nothing was sent.
    #[error("connecting to {address}: {source}")]
    Connect {
        /// Where to.
        address: SocketAddr,
        /// What failed.
        source: std::io::Error,
    },
    /// The connection had ended before anything of the request was written.
    #[error("the connection to {address} had ended before the request was sent")]
    NotSent {
        /// Where to.
        address: SocketAddr,
    },
    /// The connection failed after sending had begun.
    #[error("the connection to {address} failed: {source}")]
    Broken {
        /// Where to.
        address: SocketAddr,
        /// What failed.
        source: hyper::Error,
    },
}

impl UpstreamError {
    /// Whether nothing of the request can have reached the server.
    pub fn nothing_was_sent(&self) -> bool {
        !matches!(self, UpstreamError::Broken { .. })
    }
}

/// An open connection. Dropping it closes the socket at once, also in the middle of an answer.
pub(super) struct UpstreamConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _open: oneshot::Sender<()>,
    /// How long opening it took, until that was asked for.
    connect_time: Option<Duration>,
    /// When it was last put aside.
    pub(super) idle_since: Instant,
    /// How long it may be idle.
    pub(super) idle_timeout: Duration,
}

impl UpstreamConnection {
    /// Opens a connection within `limit`.
    pub(super) async fn open(address: SocketAddr, limit: Duration) -> Result<Self, UpstreamError> {
        let connect_error = |source| UpstreamError::Connect { address, source };
        let started_at = Instant::now();
        let connecting = monoio::time::timeout(limit, TcpStream::connect_addr(address));
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
        let io = MonoioIo::new(stream.into_poll_io().map_err(connect_error)?);
        let (sender, connection) =
            handshake(io).await.map_err(|source| UpstreamError::Broken { address, source })?;
        let (open, dropped) = oneshot::channel::<()>();
        monoio::spawn(async move {
            match select(connection, dropped).await {
                Either::Left((Ok(()), _)) | Either::Right(_) => {}
                Either::Left((Err(error), _)) => {
                    log::debug!(address:% = address, error:% = error; "server connection ended");
                }
            }
        });
        let now = Instant::now();
        Ok(Self {
            address,
            sender,
            _open: open,
            connect_time,
            idle_since: now,
            idle_timeout: Duration::ZERO,
        })
    }

    /// How long opening it took; nothing from the second time on.
    pub(super) fn take_connect_time(&mut self) -> Option<Duration> {
        self.connect_time.take()
    }

    /// Whether the connection can take a request now: it is open, has nothing under way and got
    /// no bytes that nobody asked for.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<http::Response<Incoming>, UpstreamError> {
        let address = self.address;
        // A fresh connection takes its first request at once, and the pool hands out others only
        // when they are ready. Waiting for readiness here would wake this task at each poll where
        // the compiler has made two copies of its waker's table, and starve all other tasks.
        match self.sender.try_send_request(request.map(Full::new)).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(UpstreamError::NotSent { address }),
                None => Err(UpstreamError::Broken { address, source: error.into_error() }),
            },
        }
    }
}
