//! Passing an answer on to the caller as the caller takes it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use papayamux_protocol::headers::{HOP_BY_HOP, REQUEST_ID, SERVED_BY};
use papayamux_protocol::link::AnswerEnd;
use papayamux_transport::http::{AnswerBody, BodyError};

use super::offer::TakenRequest;
use super::request_handler::InFlightGuard;
use crate::agents::{StreamEvent, StreamHandle};

/// The rest of an answer; it ends well only where every byte came in its order.
struct AnswerStream {
    stream: StreamHandle,
    taken: u64,
    finished: bool,
    _in_flight: Rc<InFlightGuard>,
}

impl AnswerStream {
    fn take_event(&mut self, event: StreamEvent) -> Option<Result<Bytes, BodyError>> {
        match event {
            StreamEvent::Data(data) if data.offset == self.taken => {
                self.taken += data.bytes.len() as u64;
                self.stream.acknowledge(self.taken);
                Some(Ok(data.bytes))
            }
            StreamEvent::End(AnswerEnd::Whole(length)) if length == self.taken => None,
            StreamEvent::End(AnswerEnd::Failed(reason)) => Some(Err(BodyError(reason))),
            StreamEvent::Lost => {
                Some(Err(BodyError("the connection to the server was lost".to_string())))
            }
            _ => Some(Err(BodyError("the answer came out of order".to_string()))),
        }
    }
}

impl Stream for AnswerStream {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.finished {
            return Poll::Ready(None);
        }
        self.stream.poll_event(context).map(|event| {
            let item = self.take_event(event);
            self.finished = !matches!(item, Some(Ok(_)));
            item
        })
    }
}

/// The response to the caller.
pub fn answer_response(taken: TakenRequest, in_flight: Rc<InFlightGuard>) -> Response<AnswerBody> {
    let TakenRequest { id, server, head, stream } = taken;
    let stream = AnswerStream { stream, taken: 0, finished: false, _in_flight: in_flight };
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
