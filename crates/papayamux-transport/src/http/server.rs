//! HTTP/1.1 server with one task per connection.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{select, Either};
use futures_util::{Stream, StreamExt};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};

use super::stall_guard::StallGuard;
use super::{AnswerBody, BodyError};
use crate::keepalive::set_stream_options;
use crate::shutdown::ShutdownSignal;

/// Decides whether an address may connect.
#[derive(Clone)]
pub struct AddressCheck(pub Rc<dyn Fn(IpAddr) -> bool>);

impl fmt::Debug for AddressCheck {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AddressCheck")
    }
}

/// Limits of a listener.
#[derive(Debug, Clone)]
pub struct HttpLimits {
    /// Maximum number of open connections; further ones wait in the kernel's backlog.
    pub connections: usize,
    /// Maximum size of a request's head in bytes. It is checked after each read, so a head of up to
    /// twice this size may pass.
    pub head_bytes: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// Maximum time for which a write may wait without the other side accepting anything.
    pub write_timeout: Duration,
    /// Addresses that may connect; `None` allows all.
    pub admits: Option<AddressCheck>,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            head_bytes: 32 * 1024,
            head_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(30),
            admits: None,
        }
    }
}

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after a shutdown signal within which a connection that has had no request may still send
/// its first.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of an answer that is buffered to send it with a length.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Share of the connection limit above which each answer asks its caller to close the connection.
/// This frees idle connections before new callers have to wait in the kernel's backlog.
const CROWDED_SHARE: f64 = 0.75;

struct OpenConnections {
    limit: usize,
    count: Cell<usize>,
    crowded: Cell<bool>,
    closed: Cell<Option<ShutdownSignal>>,
}

impl OpenConnections {
    fn record_open(&self) {
        self.count.set(self.count.get() + 1);
        self.update_crowded();
    }

    fn record_close(&self) {
        self.count.set(self.count.get() - 1);
        self.update_crowded();
        if let Some(signal) = self.closed.take() {
            signal.trigger();
        }
    }

    fn is_crowded(&self) -> bool {
        self.crowded.get()
    }

    fn update_crowded(&self) {
        let crowded = self.count.get() as f64 > self.limit as f64 * CROWDED_SHARE;
        if self.crowded.replace(crowded) != crowded {
            let (count, limit) = (self.count.get(), self.limit);
            log::warn!(crowded = crowded, connections = count, limit = limit; "callers' connections");
        }
    }

    async fn wait_below(&self, limit: usize) {
        while self.count.get() >= limit {
            let signal = ShutdownSignal::new();
            self.closed.set(Some(signal.clone()));
            signal.triggered().await;
        }
    }
}

/// Serves connections until `shutdown` is triggered, then lets each connection finish its request
/// and returns when the last has closed.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: HttpLimits,
    shutdown: ShutdownSignal,
    handler: Rc<H>,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let open = Rc::new(OpenConnections {
        limit: limits.connections,
        count: Cell::new(0),
        crowded: Cell::new(false),
        closed: Cell::new(None),
    });
    loop {
        open.wait_below(limits.connections).await;
        let accept = std::pin::pin!(listener.accept());
        let triggered = std::pin::pin!(shutdown.triggered());
        let (stream, peer) = match select(triggered, accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, peer)), _)) => (stream, peer),
            Either::Right((Err(error), _)) => {
                log::warn!(error:% = error; "accepting failed");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if limits.admits.as_ref().is_some_and(|check| !(check.0)(peer.ip())) {
            continue;
        }
        open.record_open();
        let (open, shutdown, handler) = (open.clone(), shutdown.clone(), handler.clone());
        let limits = limits.clone();
        monoio::spawn(async move {
            if let Err(error) = serve_connection(stream, limits, shutdown, &open, handler).await {
                log::debug!(error:% = error; "caller's connection failed");
            }
            open.record_close();
        });
    }
    drop(listener);
    open.wait_below(1).await;
    Ok(())
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: HttpLimits,
    shutdown: ShutdownSignal,
    open: &Rc<OpenConnections>,
    handler: Rc<H>,
) -> Result<(), Box<dyn std::error::Error>>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    set_stream_options(&stream)?;
    let request_seen = Rc::new(Cell::new(false));
    let mark_seen = request_seen.clone();
    let open = open.clone();
    let service = service_fn(move |request| {
        mark_seen.set(true);
        let (handler, open) = (handler.clone(), open.clone());
        async move {
            let needs_length = request.version() == Version::HTTP_10;
            let mut response = handler(request).await;
            if needs_length {
                response = with_length(response).await?;
            }
            if open.is_crowded() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, BodyError>(response)
        }
    });
    let guarded = StallGuard::new(MonoioIo::new(stream.into_poll_io()?), limits.write_timeout);
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes)
        .serve_connection(guarded, service);
    let mut connection = std::pin::pin!(connection);
    let triggered = std::pin::pin!(shutdown.triggered());
    match select(connection.as_mut(), triggered).await {
        Either::Left((result, _)) => result?,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            let first = std::pin::pin!(wait_first_request(&request_seen));
            match select(connection, first).await {
                Either::Left((result, _)) => result?,
                Either::Right((true, connection)) => connection.await?,
                Either::Right((false, _)) => {}
            }
        }
    }
    Ok(())
}

/// Buffers a stream without a length for a caller of HTTP/1.0, which has no chunks: ended by its connection,
/// a truncated answer would look complete. An error closes the connection without an answer.
async fn with_length(response: Response<AnswerBody>) -> Result<Response<AnswerBody>, BodyError> {
    let (head, body) = response.into_parts();
    let body = match body {
        AnswerBody::Stream(stream) if !head.headers.contains_key(CONTENT_LENGTH) => {
            AnswerBody::Whole(collect(stream).await?)
        }
        body => body,
    };
    Ok(Response::from_parts(head, body))
}

async fn collect(
    mut stream: impl Stream<Item = Result<Bytes, BodyError>> + Unpin,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(piece) = stream.next().await {
        body.extend_from_slice(&piece?);
        if body.len() > MAX_BUFFERED_BYTES {
            let message = format!("longer than {MAX_BUFFERED_BYTES} bytes, for HTTP/1.0");
            return Err(BodyError(message));
        }
    }
    Ok(body.freeze())
}

/// Returns whether a connection has sent a request, now or within `FIRST_REQUEST_TIMEOUT`. `hyper`
/// closes a connection that is idle between two requests, but waits for the first request for its
/// full head timeout, which would delay a shutdown.
async fn wait_first_request(request_seen: &Cell<bool>) -> bool {
    if !request_seen.get() {
        monoio::time::sleep(FIRST_REQUEST_TIMEOUT).await;
    }
    request_seen.get()
}
