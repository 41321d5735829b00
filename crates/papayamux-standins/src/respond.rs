//! HTTP responses shared by all stand-ins.

use bytes::Bytes;
use futures_util::StreamExt;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use papayamux_transport::http::AnswerBody;
use serde::Serialize;

/// Builds a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", AnswerBody::from(body))
}

/// Builds an error response with a JSON body that contains `message`.
pub fn refuse(status: StatusCode, message: &str) -> Response<AnswerBody> {
    json(status, &serde_json::json!({ "error": { "message": message } }))
}

/// Builds a response with the given content type.
pub fn typed(
    status: StatusCode,
    content_type: &'static str,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Builds the response to a call above the rate limit, with a `Retry-After` of one second.
pub fn too_many(message: &str) -> Response<AnswerBody> {
    let mut response = refuse(StatusCode::TOO_MANY_REQUESTS, message);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Size of the pieces of an endless answer.
const ENDLESS_PIECE_BYTES: usize = 16 * 1024;

/// Returns an answer whose body never ends.
pub fn endless(media_type: &'static str) -> Response<AnswerBody> {
    let piece = Bytes::from(vec![b'x'; ENDLESS_PIECE_BYTES]);
    let pieces = futures_util::stream::repeat(piece).map(Ok);
    let mut response = Response::new(AnswerBody::Stream(Box::pin(pieces)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
