//! A client that sends requests to a router and reads the streamed answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use papayamux_protocol::chat::{ChatChunk, ChatMessage, ChatRequest, UsageReport, STREAM_END};
use papayamux_protocol::engine::CHAT_PATH;
use papayamux_protocol::failure::{FailureBody, FailureEnvelope};
use papayamux_protocol::headers::{LAST_EVENT_ID, ORGANISATION, SERVED_BY};
use papayamux_transport::http::{ClientAnswer, HttpClient, HttpClientError};
use thiserror::Error;

/// Maximum size of an answer that a caller reads.
pub(crate) const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Type of the server-sent event with which a router ends a stream that it can't continue.
const FAILURE_EVENT: &str = "error";

/// The reason why a caller received no complete answer.
#[derive(Debug, Error)]
pub enum CallerError {
    /// The request failed at the transport.
    #[error(transparent)]
    Client(#[from] HttpClientError),
    /// The answer's status is not 200.
    #[error("status {status}: {body}")]
    Failure {
        /// The HTTP status of the answer.
        status: StatusCode,
        /// The body of the answer.
        body: String,
    },
    /// The request couldn't be encoded, or the answer couldn't be decoded.
    #[error("invalid answer: {0}")]
    InvalidAnswer(String),
    /// The body of the answer is complete, but its last event is missing.
    #[error("{}: the answer ended after {} bytes without its last event", .0.server, .0.text.len())]
    Short(Box<CallerAnswer>),
    /// The connection failed in the middle of the answer.
    #[error("{}: after {} bytes: {error}", .answer.server, .answer.text.len())]
    Partial {
        /// The part of the answer that was received.
        answer: Box<CallerAnswer>,
        /// The error of the connection.
        error: HttpClientError,
    },
    /// The router ended a started answer with a failure event.
    #[error("{}: after {} bytes: {}", .answer.server, .answer.text.len(), .failure.message)]
    Reported {
        /// The part of the answer that was received.
        answer: Box<CallerAnswer>,
        /// The failure that the router reported.
        failure: FailureBody,
    },
    /// The request couldn't be built.
    #[error(transparent)]
    Request(#[from] http::Error),
}

impl CallerError {
    /// Returns the part of a streamed answer that was received before the error.
    pub fn partial_answer(&self) -> Option<&CallerAnswer> {
        match self {
            CallerError::Short(answer)
            | CallerError::Partial { answer, .. }
            | CallerError::Reported { answer, .. } => Some(answer),
            _ => None,
        }
    }
}

/// A streamed answer, complete or truncated.
#[derive(Debug, Clone, Default)]
pub struct CallerAnswer {
    /// The received text.
    pub text: String,
    /// The server that generated it.
    pub server: String,
    /// The token counts.
    pub usage: UsageReport,
    /// The time from sending the request to the first event with text.
    pub first_token: Duration,
    /// The number of events with text.
    pub events: u64,
    /// The id of the last event, from which the answer can be resumed. Empty if it had none.
    pub last_event: String,
}

/// An HTTP client of one organisation at one router.
#[derive(Clone)]
pub struct Caller {
    client: HttpClient,
    organisation: String,
}

impl Caller {
    /// Creates a caller of `organisation` for the router or engine at `address`.
    pub fn new(address: SocketAddr, organisation: &str) -> Self {
        Self { client: HttpClient::new(address), organisation: organisation.to_string() }
    }

    /// Sends a request and returns the head of its answer, with the body unread. The request must
    /// be idempotent, because the client may send it again.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<ClientAnswer, CallerError> {
        let request = self.request(method, path, headers, body)?;
        Ok(self.client.send_idempotent(request).await?)
    }

    /// Sends a request like [`Self::send`], but over a new connection and without retries.
    pub async fn send_once(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<ClientAnswer, CallerError> {
        let request = self.request(method, path, headers, body)?;
        Ok(self.client.send_once(request).await?)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Request<Bytes>, CallerError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.client.address().to_string())
            .header(ORGANISATION, &self.organisation);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(request.body(body)?)
    }

    /// Sends a request like [`Self::send`] and reads the complete answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallerError> {
        let answer = self.send(method, path, headers, body).await?;
        let status = answer.head.status;
        Ok((status, answer.read_body(MAX_ANSWER_BYTES).await?))
    }

    /// Sends a chat request and reads its streamed answer to the end.
    pub async fn chat(&self, request: &ChatRequest) -> Result<CallerAnswer, CallerError> {
        let sent = Instant::now();
        let answer = self.send(Method::POST, CHAT_PATH, &[], chat_body(request)?).await?;
        read_answer(answer, sent, CallerAnswer::default()).await
    }

    /// Sends a chat request like [`Self::chat`], but over a new connection, with additional headers
    /// and without retries. Appends to the answer `before` and, if that has a last event, resumes
    /// after it.
    pub(crate) async fn stream_once(
        &self,
        request: &ChatRequest,
        headers: &[(&str, &str)],
        before: CallerAnswer,
    ) -> Result<CallerAnswer, CallerError> {
        let sent = Instant::now();
        let body = chat_body(request)?;
        let mut headers = headers.to_vec();
        let last_event = before.last_event.clone();
        if !last_event.is_empty() {
            headers.push((LAST_EVENT_ID, &last_event));
        }
        let answer = self.send_once(Method::POST, CHAT_PATH, &headers, body).await?;
        read_answer(answer, sent, before).await
    }
}

fn chat_body(request: &ChatRequest) -> Result<Bytes, CallerError> {
    let body = serde_json::to_vec(request);
    Ok(body.map_err(|error| CallerError::InvalidAnswer(error.to_string()))?.into())
}

async fn read_answer(
    answer: ClientAnswer,
    sent: Instant,
    before: CallerAnswer,
) -> Result<CallerAnswer, CallerError> {
    if answer.head.status != StatusCode::OK {
        let status = answer.head.status;
        let body = answer.read_body(MAX_ANSWER_BYTES).await?;
        let body = String::from_utf8_lossy(&body).into_owned();
        return Err(CallerError::Failure { status, body });
    }
    read_events(answer, sent, before).await
}

async fn read_events(
    mut answer: ClientAnswer,
    sent: Instant,
    before: CallerAnswer,
) -> Result<CallerAnswer, CallerError> {
    let served_by = answer.head.headers.get(SERVED_BY).and_then(|value| value.to_str().ok());
    let server = served_by.unwrap_or_default().to_string();
    let mut whole = CallerAnswer { server, ..before };
    let mut pending = Vec::new();
    let mut ended = false;
    while let Some(piece) = answer.next_piece().await {
        let piece = match piece {
            Ok(piece) => piece,
            Err(error) => return Err(CallerError::Partial { answer: Box::new(whole), error }),
        };
        pending.extend_from_slice(&piece);
        while let Some(end) = pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = pending.drain(..end + 2).collect();
            match apply_event(&event, sent, &mut whole)? {
                EventKind::Chunk => {}
                EventKind::End => ended = true,
                EventKind::Failure(failure) => {
                    return Err(CallerError::Reported { answer: Box::new(whole), failure });
                }
            }
        }
    }
    if !ended || !pending.is_empty() {
        return Err(CallerError::Short(Box::new(whole)));
    }
    answer.finish();
    Ok(whole)
}

/// The kind of a server-sent event.
enum EventKind {
    Chunk,
    End,
    Failure(FailureBody),
}

/// Parses one event, appends it to the answer and returns its kind.
fn apply_event(
    event: &[u8],
    sent: Instant,
    whole: &mut CallerAnswer,
) -> Result<EventKind, CallerError> {
    let invalid_answer = |text: &str| CallerError::InvalidAnswer(text.to_string());
    let text =
        std::str::from_utf8(event).map_err(|_| invalid_answer("an event is not valid UTF-8"))?;
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    let data = field("data: ").ok_or_else(|| invalid_answer("an event has no data field"))?;
    if field("event: ") == Some(FAILURE_EVENT) {
        let envelope = serde_json::from_str::<FailureEnvelope>(data);
        return match envelope {
            Ok(envelope) => Ok(EventKind::Failure(envelope.error)),
            Err(error) => Err(invalid_answer(&error.to_string())),
        };
    }
    whole.last_event = field("id: ").unwrap_or_default().to_string();
    if data == STREAM_END {
        return Ok(EventKind::End);
    }
    let chunk: ChatChunk =
        serde_json::from_str(data).map_err(|error| invalid_answer(&error.to_string()))?;
    for choice in &chunk.choices {
        if !choice.delta.content.is_empty() {
            if whole.events == 0 {
                whole.first_token = sent.elapsed();
            }
            whole.events += 1;
            whole.text.push_str(&choice.delta.content);
        }
    }
    whole.usage = chunk.usage.unwrap_or(whole.usage);
    Ok(EventKind::Chunk)
}

/// Creates a chat request with the given messages and a streamed answer.
pub fn chat_request(model: &str, messages: Vec<ChatMessage>, max_tokens: u32) -> ChatRequest {
    ChatRequest {
        model: model.to_string(),
        adapter: None,
        messages,
        stream: true,
        max_tokens: Some(max_tokens),
        conversation: None,
    }
}
