//! HTTP/1.1 client for a single server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::Request;
use papayamux_state::answer_framing::AnswerFraming;
use papayamux_state::quantities::ByteCount;
use thiserror::Error;

use super::upstream::{PoolLimits, UpstreamAnswer, UpstreamError, UpstreamPool};
use super::RequestBody;

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an idle connection is kept for the next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// The error of sending a request or receiving its answer.
#[derive(Debug, Error)]
pub enum HttpClientError {
    /// The request got no answer.
    #[error(transparent)]
    Upstream(#[from] UpstreamError),
    /// The request was no longer allowed when the connection was open; nothing was sent.
    #[error("the request was given up before it was sent")]
    NotAllowed,
    /// The connection failed during the answer.
    #[error("the connection failed during the answer: {0}")]
    Broken(#[from] hyper::Error),
    /// The connection ended in order, but the answer's contents show that its end is missing.
    #[error("the answer ended with its connection before its end")]
    Truncated,
    /// The answer's body exceeds its limit.
    #[error("the answer has {length} bytes or more, the limit is {limit}")]
    TooLong {
        /// Received size in bytes.
        length: u64,
        /// Maximum size in bytes.
        limit: u64,
    },
}

impl HttpClientError {
    /// Returns whether the request can't have reached the server, not even partially.
    pub fn nothing_was_sent(&self) -> bool {
        match self {
            Self::Upstream(error) => error.nothing_was_sent(),
            Self::NotAllowed => true,
            Self::Broken(_) | Self::Truncated | Self::TooLong { .. } => false,
        }
    }
}

/// A client for one server. Clones share its idle connections.
#[derive(Clone)]
pub struct HttpClient {
    address: SocketAddr,
    pool: UpstreamPool,
}

impl HttpClient {
    /// Creates a client for the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let limits = PoolLimits {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            reuse_delay: Duration::ZERO,
            max_idle_per_server: MAX_IDLE_CONNECTIONS,
        };
        Self { address, pool: UpstreamPool::new(limits) }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends an idempotent request over an idle connection if there is one. If that connection
    /// fails or was closed by the server, sends the request again over a new one.
    pub async fn send_idempotent(
        &self,
        request: Request<Bytes>,
    ) -> Result<ClientAnswer, HttpClientError> {
        let first = request.clone().map(RequestBody::from);
        let lost = match self.pool.send_over_idle(self.address, first).await {
            None | Some(Err(UpstreamError::NotSent { .. })) => {
                return self.send_once(request).await
            }
            Some(Ok(answer)) => return Ok(ClientAnswer::from(answer)),
            Some(Err(lost)) => lost,
        };
        match self.send_once(request).await {
            // The server may have run the request that it received on the lost connection, and
            // crashed because of it.
            Err(error) if error.nothing_was_sent() => Err(lost.into()),
            outcome => outcome,
        }
    }

    /// Sends a request exactly once, over a new connection: a failure to connect then proves that
    /// nothing ran.
    pub async fn send_once(
        &self,
        request: Request<Bytes>,
    ) -> Result<ClientAnswer, HttpClientError> {
        self.send_once_if(request, || true).await
    }

    /// Sends a request exactly once, if `may_send` still allows it immediately before the first
    /// byte is sent.
    pub async fn send_once_if(
        &self,
        request: Request<Bytes>,
        may_send: impl FnOnce() -> bool,
    ) -> Result<ClientAnswer, HttpClientError> {
        let connection = self.pool.connect(self.address).await?;
        if !may_send() {
            return Err(HttpClientError::NotAllowed);
        }
        let answer = self.pool.send_over(connection, request.map(RequestBody::from)).await?;
        Ok(ClientAnswer::from(answer))
    }
}

/// An answer whose body has not been read yet.
pub struct ClientAnswer {
    /// Status and headers.
    pub head: Parts,
    answer: UpstreamAnswer,
}

impl From<UpstreamAnswer> for ClientAnswer {
    fn from(answer: UpstreamAnswer) -> Self {
        Self { head: answer.head.clone(), answer }
    }
}

impl ClientAnswer {
    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> AnswerFraming {
        self.answer.framing()
    }

    /// Returns the length that the server declares for the body. A length beside chunks doesn't count.
    pub fn declared_length(&self) -> Option<ByteCount> {
        self.answer.declared_length()
    }

    /// Returns the next piece of the body, or `None` after the last one.
    pub async fn next_piece(&mut self) -> Option<Result<Bytes, HttpClientError>> {
        let piece = self.answer.next_piece().await?;
        Some(piece.map_err(HttpClientError::from))
    }

    /// Reads the complete body, up to `limit` bytes.
    pub async fn read_body(mut self, limit: u64) -> Result<Bytes, HttpClientError> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.next_piece().await {
            body.extend_from_slice(&piece?);
            let length = body.len() as u64;
            if length > limit {
                return Err(HttpClientError::TooLong { length, limit });
            }
        }
        self.finish();
        Ok(body.freeze())
    }

    /// Keeps the connection for the next request if the body was read completely and the server
    /// doesn't close the connection. Dropping the answer closes the connection instead.
    pub fn finish(self) {
        self.answer.finish();
    }
}
