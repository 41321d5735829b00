//! Client of the configuration service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use papayamux_protocol::platform::{
    file_path, watch_path, ConfigFile, FileListing, FILES_PATH, INSTANCES_PATH,
};
use papayamux_transport::http::{HttpClient, HttpClientError};
use thiserror::Error;

use crate::files::FileVersion;
use crate::instances::canonical_text;
use crate::metrics::SpreadMetrics;

/// Timeout of a call, in addition to the time for which it waits at the service.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer in bytes: that of a value and of its JSON encoding.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// The error of a call to the service.
#[derive(Debug, Error)]
pub(crate) enum ServiceError {
    /// The request failed without an answer.
    #[error("calling the service failed: {0}")]
    Client(#[from] HttpClientError),
    /// No answer arrived within the timeout.
    #[error("the service did not answer within the timeout")]
    Timeout,
    /// The service limits the call rate.
    #[error("the service limits the call rate")]
    RateLimited,
    /// The service answered with an unexpected status.
    #[error("the service answered with status {0}")]
    Status(StatusCode),
    /// The answer could not be parsed.
    #[error("the service's answer could not be parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The answer is older than the known revision.
    #[error(
        "the service answered with revision {revision}, older than the known revision {known}"
    )]
    Stale {
        /// Revision of the answer.
        revision: u64,
        /// Known revision.
        known: u64,
    },
    /// A file exceeds the size limits.
    #[error("file {name} exceeds the size limits")]
    TooLarge {
        /// Name of the file.
        name: String,
    },
}

impl ServiceError {
    /// Returns the reason's label in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            ServiceError::Client(_) => "unreachable",
            ServiceError::Timeout => "timeout",
            ServiceError::RateLimited => "limited",
            ServiceError::Status(_) => "status",
            ServiceError::Json(_) => "malformed",
            ServiceError::Request(_) => "request",
            ServiceError::Stale { .. } => "stale",
            ServiceError::TooLarge { .. } => "too_large",
        }
    }
}

/// A client that counts its calls and received bytes.
pub(crate) struct ServiceClient {
    client: HttpClient,
    metrics: SpreadMetrics,
}

impl ServiceClient {
    pub(crate) fn new(address: SocketAddr, metrics: SpreadMetrics) -> Self {
        Self { client: HttpClient::new(address), metrics }
    }

    /// Returns the names and revisions of all files.
    pub(crate) async fn list(&self) -> Result<FileListing, ServiceError> {
        let body = self.call("list", FILES_PATH, Duration::ZERO).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns one file at its newest revision.
    pub(crate) async fn read(&self, name: &str) -> Result<FileVersion, ServiceError> {
        let body = self.call("file", &file_path(name), Duration::ZERO).await?;
        let file: ConfigFile = serde_json::from_slice(&body)?;
        Ok(FileVersion::new(name, file.revision, file.text))
    }

    /// Waits for up to `wait` until files change after revision `after`, and returns them.
    pub(crate) async fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<FileListing, ServiceError> {
        let path = watch_path(after, wait.as_millis() as u64);
        let body = self.call("watch", &path, wait).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns the list of instances in its canonical form.
    pub(crate) async fn instances(&self) -> Result<String, ServiceError> {
        let body = self.call("instances", INSTANCES_PATH, Duration::ZERO).await?;
        Ok(canonical_text(serde_json::from_slice(&body)?)?)
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
                StatusCode::OK => Ok(answer.read_body(MAX_ANSWER_BYTES).await?),
                StatusCode::TOO_MANY_REQUESTS => Err(ServiceError::RateLimited),
                status => Err(ServiceError::Status(status)),
            }
        };
        let body = monoio::time::timeout(wait + CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| ServiceError::Timeout)??;
        self.metrics.service_bytes.inc_by(body.len() as u64);
        Ok(body)
    }
}
