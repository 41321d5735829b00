//! The client of the engine's order interface.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use papayamux_protocol::engine::{
    EngineErrorCode, EngineFailure, EngineOrder, EngineState, ORDERS_PATH, STATE_PATH,
};
use papayamux_transport::http::{HttpClient, HttpClientError};
use thiserror::Error;

use super::order_permit::{OrderPermit, PermitError};

/// The time within which the engine must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer in bytes.
const MAX_STATE_BYTES: u64 = 1024 * 1024;

/// The error of reading the engine's state or sending an order.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The connection failed.
    #[error(transparent)]
    Client(#[from] HttpClientError),
    /// The engine did not answer in time.
    #[error("no answer within {ANSWER_TIMEOUT:?}")]
    Timeout,
    /// The answer does not conform to the interface.
    #[error("answer with status {status} does not conform to the order interface: {help}")]
    Answer {
        /// The status of the answer.
        status: StatusCode,
        /// The reason why the answer does not conform.
        help: String,
    },
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
}

/// The outcome of an order.
#[derive(Debug)]
pub enum OrderOutcome {
    /// The order was not sent.
    NotSent(PermitError),
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a higher fencing number.
    Stale {
        /// The highest fencing number that the engine has seen.
        highest: u64,
    },
    /// The engine refused the order for another reason.
    Refused(StatusCode),
    /// It is unknown whether the engine accepted the order.
    Unknown(EngineError),
}

impl OrderOutcome {
    /// Returns the stable label for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            OrderOutcome::NotSent(end) => end.label(),
            OrderOutcome::Accepted => "obeyed",
            OrderOutcome::Stale { .. } => "stale_fence",
            OrderOutcome::Refused(_) => "refused",
            OrderOutcome::Unknown(_) => "unknown",
        }
    }
}

/// Reads the engine's state.
pub async fn read_state(client: &HttpClient) -> Result<EngineState, EngineError> {
    let request = engine_request(client, Method::GET, STATE_PATH, Bytes::new())?;
    let (status, body) = exchange(client, request).await?;
    if status != StatusCode::OK {
        return Err(EngineError::Answer { status, help: "expected status 200".to_string() });
    }
    serde_json::from_slice(&body)
        .map_err(|error| EngineError::Answer { status, help: error.to_string() })
}

/// Sends an order if `permit` is still valid. The permit is checked immediately before the order is
/// sent.
pub async fn send_order(
    client: &HttpClient,
    order: &EngineOrder,
    permit: &OrderPermit,
) -> OrderOutcome {
    let body = match serde_json::to_vec(order) {
        Ok(body) => Bytes::from(body),
        Err(error) => {
            let (status, help) = (StatusCode::BAD_REQUEST, error.to_string());
            return OrderOutcome::Unknown(EngineError::Answer { status, help });
        }
    };
    let request = match engine_request(client, Method::POST, ORDERS_PATH, body) {
        Ok(request) => request,
        Err(error) => return OrderOutcome::Unknown(error),
    };
    if let Err(end) = permit.check() {
        return OrderOutcome::NotSent(end);
    }
    match exchange(client, request).await {
        Ok((StatusCode::ACCEPTED, _)) => OrderOutcome::Accepted,
        Ok((status, body)) => refusal(status, &body),
        Err(error) => OrderOutcome::Unknown(error),
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> OrderOutcome {
    let error = serde_json::from_slice::<EngineFailure>(body).map(|failure| failure.error);
    match error {
        Ok(error) if error.code == EngineErrorCode::StaleFence => {
            OrderOutcome::Stale { highest: error.highest_fence.unwrap_or_default() }
        }
        _ => OrderOutcome::Refused(status),
    }
}

fn engine_request(
    client: &HttpClient,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Bytes>, EngineError> {
    let host = client.address().to_string();
    let request = Request::builder().method(method).uri(path);
    Ok(request.header(http::header::HOST, host).body(body)?)
}

async fn exchange(
    client: &HttpClient,
    request: Request<Bytes>,
) -> Result<(StatusCode, Bytes), EngineError> {
    let exchange = async {
        let answer = client.send_once(request).await?;
        let status = answer.head.status;
        Ok((status, answer.read_body(MAX_STATE_BYTES).await?))
    };
    match monoio::time::timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Err(EngineError::Timeout),
    }
}
