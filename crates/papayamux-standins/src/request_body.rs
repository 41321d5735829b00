//! Bodies of requests, read whole and bounded.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use thiserror::Error;

/// Bytes of the longest request body.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Why a body could not be read.
#[derive(Debug, Error)]
#[error("the body can't be read: {0}")]
pub struct RequestBodyError(String);

/// Reads a whole body of at most [`MAX_BODY_BYTES`] bytes.
pub async fn read_body(body: Incoming) -> Result<Bytes, RequestBodyError> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    body.map(|body| body.to_bytes()).map_err(|error| RequestBodyError(error.to_string()))
}
