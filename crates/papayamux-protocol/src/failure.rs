//! Failures reported to callers as JSON with a stable code and the outcome of the request.

use http::StatusCode;
use papayamux_state::refusal::RefusalReason;
use serde::{Deserialize, Serialize};

/// The outcome of a request that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureOutcome {
    /// The request provably did not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// The request ran and failed.
    Failed,
}

/// Stable failure codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The request is malformed.
    InvalidRequest,
    /// The request's body exceeds the limit.
    BodyTooLarge,
    /// The request does not identify an organisation.
    UnknownOrganisation,
    /// No backend server is declared for the model.
    UnknownModel,
    /// No backend server is declared for the path.
    UnknownRoute,
    /// All available servers refused the request.
    Refused,
    /// The connection to the server's agent was lost before the answer's head arrived.
    ConnectionLost,
    /// The backend server failed while running the request.
    ServerFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The router is shutting down.
    ShuttingDown,
    /// The answer that the caller wants to resume is no longer available.
    AnswerGone,
    /// Too few witnesses granted the claim of the idempotency key.
    ClaimsUnavailable,
    /// Another call with the idempotency key is in progress.
    KeyInUse,
    /// The idempotency key was used for another call.
    KeyReused,
    /// An earlier call with the idempotency key was accepted, but its answer is not available.
    AnswerNotKept,
    /// The first run with the idempotency key did not produce a complete answer.
    FirstRunFailed,
}

impl FailureCode {
    /// Returns the HTTP status of the code.
    pub fn status(self) -> StatusCode {
        match self {
            FailureCode::InvalidRequest => StatusCode::BAD_REQUEST,
            FailureCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            FailureCode::UnknownOrganisation => StatusCode::UNAUTHORIZED,
            FailureCode::UnknownModel | FailureCode::UnknownRoute => StatusCode::NOT_FOUND,
            FailureCode::AnswerGone | FailureCode::AnswerNotKept => StatusCode::GONE,
            FailureCode::Refused | FailureCode::ShuttingDown | FailureCode::ClaimsUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            FailureCode::ConnectionLost
            | FailureCode::ServerFailed
            | FailureCode::FirstRunFailed => StatusCode::BAD_GATEWAY,
            FailureCode::KeyInUse => StatusCode::CONFLICT,
            FailureCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            FailureCode::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// The `error` object in the body of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureBody {
    /// The stable code.
    pub code: FailureCode,
    /// The outcome of the request.
    pub outcome: FailureOutcome,
    /// A human-readable message.
    pub message: String,
    /// The reason of the last refusal, if a server refused the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The outcome of earlier calls with the same idempotency key, set if it can't be determined
    /// and `outcome` covers this call alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier_attempts: Option<FailureOutcome>,
    /// Seconds after which the caller may retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_seconds: Option<u32>,
}

impl FailureBody {
    /// Creates a failure of a request that provably did not run.
    pub fn not_run(code: FailureCode, message: impl Into<String>) -> Self {
        Self::new(code, FailureOutcome::NotRun, message)
    }

    /// Creates a failure with the given outcome.
    pub fn new(code: FailureCode, outcome: FailureOutcome, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome,
            message: message.into(),
            reason: None,
            earlier_attempts: None,
            retry_after_seconds: None,
        }
    }

    /// Sets the reason of the last refusal.
    pub fn with_reason(mut self, reason: RefusalReason) -> Self {
        self.reason = Some(reason.label().to_string());
        self
    }

    /// Sets the outcome of earlier calls with the same idempotency key.
    pub fn earlier_attempts(mut self, outcome: FailureOutcome) -> Self {
        self.earlier_attempts = Some(outcome);
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_seconds = Some(seconds);
        self
    }

    /// Serializes the body as JSON: `{"error": {…}}`.
    pub fn to_json(&self) -> Vec<u8> {
        let envelope = FailureEnvelope { error: self.clone() };
        serde_json::to_vec(&envelope).unwrap_or_default()
    }
}

/// The complete body of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureEnvelope {
    /// The failure.
    pub error: FailureBody,
}
