//! Calls to the configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use papayamux_transport::http::{HttpClient, HttpClientError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::files::FileVersion;
use crate::metrics::SpreadMetrics;

/// How long a call may take beyond the time that it waits at the service.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// Bytes of the longest answer: a value, with what JSON adds to it.
const LONGEST_ANSWER: u64 = 4 * 1024 * 1024;

/// Why a call gave nothing.
#[derive(Debug, Error)]
pub(crate) enum ServiceError {
    /// No answer came.
    #[error("the service can't be reached: {0}")]
    Client(#[from] HttpClientError),
    /// The answer took too long.
    #[error("the service did not answer in time")]
    Timeout,
    /// The service takes no more calls for now.
    #[error("the service takes no more calls for now")]
    Limited,
    /// The service refused the call.
    #[error("the service answered {0}")]
    Status(StatusCode),
    /// The answer makes no sense.
    #[error("the answer makes no sense: {0}")]
    Json(#[from] serde_json::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The answer is older than what is known.
    #[error("the service is at revision {revision}, known is {known}")]
    Stale {
        /// The answer's revision.
        revision: u64,
        /// The revision known.
        known: u64,
    },
    /// A file exceeds the bounds.
    #[error("file {name} exceeds the bounds")]
    TooLarge {
        /// The file's name.
        name: String,
    },
}

impl ServiceError {
    /// The reason's label.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            ServiceError::Client(_) => "unreachable",
            ServiceError::Timeout => "timeout",
            ServiceError::Limited => "limited",
            ServiceError::Status(_) => "status",
            ServiceError::Json(_) => "malformed",
            ServiceError::Request(_) => "request",
            ServiceError::Stale { .. } => "stale",
            ServiceError::TooLarge { .. } => "too_large",
        }
    }
}

/// One file in a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListedFile {
    pub(crate) name: String,
    pub(crate) revision: u64,
}

/// All files of the service at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServiceListing {
    pub(crate) revision: u64,
    pub(crate) files: Vec<ListedFile>,
}

#[derive(Debug, Deserialize)]
struct FileAnswer {
    revision: u64,
    text: String,
}

#[derive(Debug, Deserialize)]
struct WatchAnswer {
    revision: u64,
}

/// A client that counts its calls.
pub(crate) struct ServiceClient {
    client: HttpClient,
    metrics: SpreadMetrics,
}

impl ServiceClient {
    pub(crate) fn new(address: SocketAddr, metrics: SpreadMetrics) -> Self {
        Self { client: HttpClient::new(address), metrics }
    }

    /// The names and revisions of all files.
    pub(crate) async fn list(&self) -> Result<ServiceListing, ServiceError> {
        let body = self.call("list", "/v1/files", Duration::ZERO).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// One file at its newest revision.
    pub(crate) async fn read(&self, name: &str) -> Result<FileVersion, ServiceError> {
        let body = self.call("file", &format!("/v1/files/{name}"), Duration::ZERO).await?;
        let answer: FileAnswer = serde_json::from_slice(&body)?;
        Ok(FileVersion::new(name, answer.revision, answer.text))
    }

    /// Waits until the service is beyond revision `after`, for up to `wait`, and gives its
    /// revision.
    pub(crate) async fn watch(&self, after: u64, wait: Duration) -> Result<u64, ServiceError> {
        let path = format!("/v1/watch?after={after}&timeout_ms={}", wait.as_millis());
        let body = self.call("watch", &path, wait).await?;
        let answer: WatchAnswer = serde_json::from_slice(&body)?;
        Ok(answer.revision)
    }

    async fn call(
        &self,
        kind: &'static str,
        path: &str,
        wait: Duration,
    ) -> Result<Bytes, ServiceError> {
        self.metrics.service_reads.count(kind);
        let request =
            Request::get(path).header(HOST, self.client.address().to_string()).body(Bytes::new())?;
        let exchange = async {
            let answer = self.client.send_idempotent(request).await?;
            match answer.head.status {
                StatusCode::OK => Ok(answer.whole_body(LONGEST_ANSWER).await?),
                StatusCode::TOO_MANY_REQUESTS => Err(ServiceError::Limited),
                status => Err(ServiceError::Status(status)),
            }
        };
        let body = monoio::time::timeout(wait + CALL_WITHIN, exchange)
            .await
            .map_err(|_| ServiceError::Timeout)??;
        self.metrics.service_bytes.inc_by(body.len() as u64);
        Ok(body)
    }
}
