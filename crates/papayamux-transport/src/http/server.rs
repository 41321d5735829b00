//! HTTP/1.1 server with one task per connection.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{select, Either};
use futures_util::stream::iter;
use futures_util::{Stream, StreamExt};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, Version};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::MonoioIo;
use papayamux_coordination::caller_memory::MemoryLimits;

use super::callers::{
    close_lingering, BusyResponse, CallerBody, CallerConnection, CallerMemory, CallerStream,
    SegmentBuffer, StreamLimits, UnreadBody,
};
use super::http_limits::HttpLimits;
use super::open_connections::OpenConnections;
use super::{AnswerBody, BodyError};
use crate::keepalive::set_stream_options;
use crate::shutdown::ShutdownSignal;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after a shutdown signal within which a connection that has had no request may still send
/// its first.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of an answer that is buffered to send it with a length.
const MAX_BUFFERED_BYTES: u64 = 4 * 1024 * 1024;

/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

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
    let answer = move |request: Request<Incoming>, connection: Rc<CallerConnection>| {
        connection.leave_body_to_handler();
        handler(request)
    };
    serve_exchanges(listener, limits, shutdown, Rc::new(answer)).await
}

/// Like [`serve`], for callers that may misbehave: the handler reads bodies through the account of their connection.
pub async fn serve_callers<H, F>(
    listener: TcpListener,
    limits: HttpLimits,
    shutdown: ShutdownSignal,
    handler: Rc<H>,
) -> io::Result<()>
where
    H: Fn(Request<CallerBody>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let answer = move |request: Request<Incoming>, connection: Rc<CallerConnection>| {
        let (head, body) = request.into_parts();
        let body = UnreadBody::new(body);
        let unread = CallerBody::new(body.clone(), connection.clone());
        let answering = handler(Request::from_parts(head, unread));
        async move {
            let response = answering.await;
            if connection.has_unread_body() && body.drain().await {
                connection.record_body_end();
            }
            response
        }
    };
    serve_exchanges(listener, limits, shutdown, Rc::new(answer)).await
}

/// Serves connections whose requests `answer` answers, each with the account of its connection.
async fn serve_exchanges<H, F>(
    listener: TcpListener,
    limits: HttpLimits,
    shutdown: ShutdownSignal,
    answer: Rc<H>,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>, Rc<CallerConnection>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let unlimited = || CallerMemory::new(MemoryLimits::UNLIMITED);
    let memory = limits.memory.clone().unwrap_or_else(unlimited);
    let open = OpenConnections::new(limits.connections, memory.clone());
    loop {
        open.wait_for_room().await;
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
        // The shortage is logged; the connection is closed.
        let Ok(connection) = memory.open() else { continue };
        open.record_open();
        let (open, shutdown, answer) = (open.clone(), shutdown.clone(), answer.clone());
        let limits = limits.clone();
        monoio::spawn(async move {
            let accepted = AcceptedConnection { stream, connection, open: open.clone() };
            if let Err(error) = accepted.serve(limits, shutdown, answer).await {
                log::debug!(error:% = error; "caller's connection failed");
            }
            open.record_close();
        });
    }
    drop(listener);
    open.wait_below(1).await;
    Ok(())
}

struct AcceptedConnection {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    open: Rc<OpenConnections>,
}

impl AcceptedConnection {
    async fn serve<H, F>(
        self,
        limits: HttpLimits,
        shutdown: ShutdownSignal,
        answer: Rc<H>,
    ) -> Result<(), Box<dyn std::error::Error>>
    where
        H: Fn(Request<Incoming>, Rc<CallerConnection>) -> F + 'static,
        F: Future<Output = Response<AnswerBody>> + 'static,
    {
        let Self { stream, connection, open } = self;
        set_stream_options(&stream)?;
        let request_seen = Rc::new(Cell::new(false));
        let exchange = CallerExchange {
            answer,
            open,
            connection: connection.clone(),
            request_seen: request_seen.clone(),
        };
        let service = service_fn(move |request| exchange.clone().answer(request));
        let max_head_bytes = (limits.heads.0)().bytes.max(MIN_BUFFER_BYTES);
        let stream_limits = Rc::new(move || {
            let heads = (limits.heads.0)();
            StreamLimits {
                idle: heads.idle_timeout,
                head: heads.timeout,
                write: limits.write_timeout,
                unread_bytes: limits.unread_answer_bytes,
            }
        });
        let stream = CallerStream::new(stream.into_poll_io()?, connection.clone(), stream_limits);
        let mut served = http1::Builder::new()
            .max_buf_size(max_head_bytes)
            .serve_connection(MonoioIo::new(stream), service);
        let triggered = std::pin::pin!(shutdown.triggered());
        let result = match select(&mut served, triggered).await {
            Either::Left((result, _)) => result,
            Either::Right((_, served)) => {
                Pin::new(&mut *served).graceful_shutdown();
                let first = std::pin::pin!(wait_first_request(&request_seen));
                match select(served, first).await {
                    Either::Left((result, _)) => result,
                    Either::Right((true, served)) => served.await,
                    Either::Right((false, _)) => return Ok(()),
                }
            }
        };
        let is_refused =
            connection.has_unread_body() || result.as_ref().is_err_and(|error| error.is_parse());
        if is_refused {
            let stream = served.into_parts().io.inner().into_inner();
            close_lingering(stream, &connection).await;
        }
        Ok(result?)
    }
}

/// Answers the requests of one connection.
struct CallerExchange<H> {
    answer: Rc<H>,
    open: Rc<OpenConnections>,
    connection: Rc<CallerConnection>,
    request_seen: Rc<Cell<bool>>,
}

impl<H> Clone for CallerExchange<H> {
    fn clone(&self) -> Self {
        Self {
            answer: self.answer.clone(),
            open: self.open.clone(),
            connection: self.connection.clone(),
            request_seen: self.request_seen.clone(),
        }
    }
}

impl<H, F> CallerExchange<H>
where
    H: Fn(Request<Incoming>, Rc<CallerConnection>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    async fn answer(self, request: Request<Incoming>) -> Result<Response<BusyResponse>, BodyError> {
        let connection = self.connection;
        self.request_seen.set(true);
        connection.begin_request(!request.body().is_end_stream());
        let needs_length = request.version() == Version::HTTP_10;
        let mut response = (self.answer)(request, connection.clone()).await;
        if needs_length {
            response = with_length(response, &connection).await?;
        }
        connection.record_answer(response.status().is_success());
        // What follows a body that isn't read to its end is dropped.
        if connection.has_unread_body() || self.open.has_too_many_kept() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response.map(|body| BusyResponse { body, connection }))
    }
}

/// Buffers a stream without a length for a caller of HTTP/1.0, which has no chunks: ended by its connection,
/// a truncated answer would look complete. An error closes the connection without an answer.
async fn with_length(
    response: Response<AnswerBody>,
    connection: &Rc<CallerConnection>,
) -> Result<Response<AnswerBody>, BodyError> {
    let (mut head, body) = response.into_parts();
    let body = match body {
        AnswerBody::Stream(stream) if !head.headers.contains_key(CONTENT_LENGTH) => {
            let collected = collect(stream, connection).await?;
            head.headers.insert(CONTENT_LENGTH, HeaderValue::from(collected.len()));
            let (segments, hold) = collected.into_parts();
            AnswerBody::Stream(Box::pin(iter(segments).map(move |segment| {
                let _kept = &hold;
                Ok(segment)
            })))
        }
        body => body,
    };
    Ok(Response::from_parts(head, body))
}

async fn collect(
    mut stream: impl Stream<Item = Result<Bytes, BodyError>> + Unpin,
    connection: &Rc<CallerConnection>,
) -> Result<SegmentBuffer, BodyError> {
    let mut body = SegmentBuffer::new(connection.hold(), None);
    while let Some(piece) = stream.next().await {
        let piece = piece?;
        if body.len() + piece.len() as u64 > MAX_BUFFERED_BYTES {
            let message = format!("longer than {MAX_BUFFERED_BYTES} bytes, for HTTP/1.0");
            return Err(BodyError(message));
        }
        body.append(&piece).map_err(|shortage| BodyError(shortage.to_string()))?;
    }
    Ok(body)
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
