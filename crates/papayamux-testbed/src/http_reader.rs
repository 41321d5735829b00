//! Reads typed answers from the processes of a fleet.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request};
use papayamux_transport::http::HttpClient;
use serde::de::DeserializeOwned;

use crate::process::TestbedError;

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Sends a request and reads the bytes of its answer. Fails if its status is not a success.
pub async fn read_bytes(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, TestbedError> {
    let request =
        Request::builder().method(method).uri(path).header(HOST, address.to_string()).body(body)?;
    let answer = HttpClient::new(address).send_once(request).await?;
    let status = answer.head.status;
    let body = answer.read_body(MAX_ANSWER_BYTES).await?;
    if !status.is_success() {
        let body = String::from_utf8_lossy(&body).into_owned();
        return Err(TestbedError::Status { path: path.to_string(), status, body });
    }
    Ok(body)
}

/// Sends a request and decodes its answer as JSON. Fails if its status is not a success.
pub async fn read_json<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<T, TestbedError> {
    let body = read_bytes(address, method, path, body).await?;
    Ok(serde_json::from_slice(&body)?)
}
