//! Streams an answer to the caller at the rate at which the caller reads it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::headers::{HOP_BY_HOP, REQUEST_ID, SERVED_BY};
use papayamux_protocol::link::AnswerEnd;
use papayamux_transport::http::{AnswerBody, BodyError};

use super::in_flight::InFlightGuard;
use super::offer::AcceptedRequest;
use crate::agents::{StreamEvent, StreamHandle};
use crate::routing::OccupiedSlot;

/// The media type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";
/// The separator of events.
const EVENT_END: &[u8] = b"\n\n";

/// The state of an answer stream.
enum AnswerProgress {
    /// More of the answer follows.
    Open,
    /// The error event has been handed over. The body returns `Pending` once, so that the event is
    /// written before the connection is closed.
    Closing(BodyError),
    /// The next poll returns the error, which closes the connection.
    Truncating(BodyError),
    /// The stream has ended.
    Ended,
}

/// The body of an answer. It ends without an error only if every byte arrived in order.
struct AnswerStream {
    stream: StreamHandle,
    delivered: u64,
    is_event_stream: bool,
    is_between_events: bool,
    progress: AnswerProgress,
    in_flight: Rc<InFlightGuard>,
    _slot: Option<OccupiedSlot>,
}

type AnswerItem = Option<Result<Bytes, BodyError>>;

impl AnswerStream {
    fn handle_event(&mut self, event: StreamEvent) -> AnswerItem {
        match event {
            StreamEvent::Data(data) => {
                self.delivered = data.offset + data.bytes.len() as u64;
                self.is_between_events = data.bytes.ends_with(EVENT_END);
                self.stream.acknowledge(self.delivered);
                Some(Ok(data.bytes))
            }
            StreamEvent::End(AnswerEnd::Complete(_)) => {
                self.progress = AnswerProgress::Ended;
                None
            }
            StreamEvent::End(AnswerEnd::Failed(reason)) => {
                let (code, outcome) = (FailureCode::ServerFailed, FailureOutcome::Failed);
                self.truncate("server_failed", FailureBody::new(code, outcome, reason))
            }
            StreamEvent::Lost | StreamEvent::NotHeld => {
                let (code, outcome) = (FailureCode::ConnectionLost, FailureOutcome::Unknown);
                let message = "the connection to the server was lost";
                self.truncate("lost", FailureBody::new(code, outcome, message))
            }
            StreamEvent::Head(_) | StreamEvent::Refused(_) => {
                let (code, outcome) = (FailureCode::ConnectionLost, FailureOutcome::Unknown);
                let message = "the answer came out of order";
                self.truncate("out_of_order", FailureBody::new(code, outcome, message))
            }
        }
    }

    /// Ends an incomplete answer with an error, which closes the connection. If an event stream is
    /// at an event boundary, an event with the reason is sent first.
    fn truncate(&mut self, reason: &'static str, failure: FailureBody) -> AnswerItem {
        self.in_flight.count_truncated(reason);
        let error = BodyError(failure.message.clone());
        if !self.is_event_stream || !self.is_between_events {
            self.progress = AnswerProgress::Ended;
            return Some(Err(error));
        }
        self.progress = AnswerProgress::Closing(error);
        let json = failure.to_json();
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend_from_slice(&json);
        event.extend_from_slice(EVENT_END);
        Some(Ok(event.into()))
    }
}

impl Stream for AnswerStream {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<AnswerItem> {
        match std::mem::replace(&mut self.progress, AnswerProgress::Ended) {
            AnswerProgress::Open => {
                self.progress = AnswerProgress::Open;
                self.stream.poll_event(context).map(|event| self.handle_event(event))
            }
            AnswerProgress::Closing(error) => {
                self.progress = AnswerProgress::Truncating(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            AnswerProgress::Truncating(error) => Poll::Ready(Some(Err(error))),
            AnswerProgress::Ended => Poll::Ready(None),
        }
    }
}

/// Builds the response to the caller.
pub fn answer_response(
    delivered: AcceptedRequest,
    in_flight: Rc<InFlightGuard>,
) -> Response<AnswerBody> {
    let AcceptedRequest { id, server, head, stream, slot } = delivered;
    let is_event_stream = head.headers.iter().any(|field| {
        field.name == CONTENT_TYPE.as_str() && field.value.starts_with(EVENT_STREAM.as_bytes())
    });
    let stream = AnswerStream {
        stream,
        delivered: 0,
        is_event_stream,
        is_between_events: true,
        progress: AnswerProgress::Open,
        in_flight,
        _slot: slot,
    };
    let mut response = Response::new(AnswerBody::Stream(Box::pin(stream)));
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for field in head.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            if !HOP_BY_HOP.contains(&name.as_str()) {
                headers.append(name, value);
            }
        }
    }
    for (name, text) in [(REQUEST_ID, id.to_string()), (SERVED_BY, server.to_string())] {
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    response
}
