//! HTTP/1.1 client for backend servers and the platform.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ::http::response::Parts;
use ::http::Request;
use bytes::Bytes;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::{FixedBody, HttpBody};
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, FixedBodyDecoder, PayloadDecoder};
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::BorrowFramedRead;
use thiserror::Error;

use crate::keepalive::set_stream_options;
use crate::link::{connect, LinkError};

/// Time for which an idle connection is kept for the next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Maximum size in bytes of a body with an announced length, which arrives in one piece.
const MAX_FIXED_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// The error of sending a request or receiving its answer.
#[derive(Debug, Error)]
pub enum HttpClientError {
    /// No connection could be opened; nothing was sent.
    #[error(transparent)]
    Connect(#[from] LinkError),
    /// The request was no longer allowed when the connection was open; nothing was sent.
    #[error("the request was given up before it was sent")]
    NotAllowed,
    /// The connection failed after sending had begun.
    #[error("the connection failed: {0}")]
    Broken(#[from] HttpError),
    /// The server closed the connection without an answer.
    #[error("the server closed the connection before its answer")]
    Closed,
    /// The answer's body exceeds its limit.
    #[error("the answer has {length} bytes, the bound is {MAX_FIXED_BODY_BYTES}")]
    TooLong {
        /// Announced or received size in bytes.
        length: u64,
    },
}

impl HttpClientError {
    /// Returns whether the request can't have reached the server, not even partially.
    pub fn nothing_was_sent(&self) -> bool {
        matches!(self, HttpClientError::Connect(_) | HttpClientError::NotAllowed)
    }
}

type Codec = ClientCodec<TcpStream>;
type BodyDecoder = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

struct IdleConnection {
    codec: Codec,
    idle_since: Instant,
}

/// A client for one server. Clones share its idle connections.
#[derive(Clone)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<IdleConnection>>>,
}

impl HttpClient {
    /// Creates a client for the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default() }
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
        let Some(codec) = self.take_idle() else { return self.send_once(request).await };
        let lost = match self.exchange(codec, request.clone()).await {
            Err(lost @ (HttpClientError::Closed | HttpClientError::Broken(_))) => lost,
            outcome => return outcome,
        };
        match self.send_once(request).await {
            // The server may have run the request that it received on the lost connection, and
            // crashed because of it.
            Err(error) if error.nothing_was_sent() => Err(lost),
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
        let stream = connect(self.address).await?;
        if !may_send() {
            return Err(HttpClientError::NotAllowed);
        }
        let _ = set_stream_options(&stream);
        self.exchange(ClientCodec::new(stream), request).await
    }

    async fn exchange(
        &self,
        mut codec: Codec,
        request: Request<Bytes>,
    ) -> Result<ClientAnswer, HttpClientError> {
        let body = request.body().clone();
        let request = request.map(|_| HttpBody::fixed_body(Some(body)));
        codec.send_and_flush(request).await?;
        let response = codec.next().await.ok_or(HttpClientError::Closed)??;
        let (head, decoder) = response.into_parts();
        let length = announced_length(&head);
        if length > MAX_FIXED_BODY_BYTES {
            return Err(HttpClientError::TooLong { length });
        }
        Ok(ClientAnswer { client: self.clone(), head, codec, decoder, ended: false })
    }

    fn take_idle(&self) -> Option<Codec> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.idle_since.elapsed() < IDLE_TIMEOUT);
        idle.pop().map(|connection| connection.codec)
    }

    fn keep_idle(&self, codec: Codec) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { codec, idle_since: Instant::now() });
        }
    }
}

fn announced_length(head: &Parts) -> u64 {
    head.headers
        .get(::http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0)
}

/// An answer whose body has not been read yet.
pub struct ClientAnswer {
    client: HttpClient,
    /// Status and headers.
    pub head: Parts,
    codec: Codec,
    decoder: BodyDecoder,
    ended: bool,
}

impl ClientAnswer {
    /// Returns the next piece of the body, or `None` after the last one. A body with an announced
    /// length is a single piece, and `None` follows it also if reading it failed.
    pub async fn next_piece(&mut self) -> Option<Result<Bytes, HttpClientError>> {
        if self.ended {
            return None;
        }
        let framed = self.codec.framed_mut();
        match &mut self.decoder {
            PayloadDecoder::None => {
                self.ended = true;
                None
            }
            PayloadDecoder::Fixed(decoder) => {
                let piece = framed.next_with(decoder).await;
                self.ended = true;
                Some(piece.map_or(Err(HttpClientError::Closed), |result| {
                    result.map_err(broken_connection)
                }))
            }
            PayloadDecoder::Streamed(decoder) => match framed.next_with(decoder).await {
                None => Some(Err(HttpClientError::Closed)),
                Some(Ok(Some(piece))) => Some(Ok(piece)),
                Some(Ok(None)) => {
                    self.ended = true;
                    None
                }
                Some(Err(error)) => Some(Err(broken_connection(error))),
            },
        }
    }

    /// Reads the complete body, up to `limit` bytes.
    pub async fn read_body(mut self, limit: u64) -> Result<Bytes, HttpClientError> {
        let mut body = bytes::BytesMut::new();
        while let Some(piece) = self.next_piece().await {
            body.extend_from_slice(&piece?);
            if body.len() as u64 > limit {
                return Err(HttpClientError::TooLong { length: body.len() as u64 });
            }
        }
        self.finish();
        Ok(body.freeze())
    }

    /// Keeps the connection for the next request if the body was read completely and the server
    /// doesn't close the connection. Dropping the answer closes the connection instead.
    pub fn finish(self) {
        let close = self
            .head
            .headers
            .get(::http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if self.ended && !close {
            self.client.keep_idle(self.codec);
        }
    }
}

fn broken_connection(error: impl Into<HttpError>) -> HttpClientError {
    HttpClientError::Broken(error.into())
}
