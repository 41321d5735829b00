//! Responses that all stand-ins give.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use papayamux_transport::http::AnswerBody;
use serde::Serialize;

/// A JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", AnswerBody::from(body))
}

/// A response that says what is wrong with the request.
pub fn refuse(status: StatusCode, message: &str) -> Response<AnswerBody> {
    json(status, &serde_json::json!({ "error": { "message": message } }))
}

/// A response with the given content type.
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

/// A response to a call above a rate limit, which may be repeated after a second.
pub fn too_many(message: &str) -> Response<AnswerBody> {
    let mut response = refuse(StatusCode::TOO_MANY_REQUESTS, message);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
