//! Reading of complete request bodies, up to a size limit.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use thiserror::Error;

/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The error of reading a request body.
#[derive(Debug, Error)]
#[error("the body can't be read: {0}")]
pub struct RequestBodyError(String);

/// Reads a complete body of at most [`MAX_BODY_BYTES`] bytes.
pub async fn read_body(body: Incoming) -> Result<Bytes, RequestBodyError> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    body.map(|body| body.to_bytes()).map_err(|error| RequestBodyError(error.to_string()))
}
