//! Failures as callers see them: JSON with a stable code and what became of the request.

use http::StatusCode;
use papayamux_state::refusal::RefusalReason;
use serde::{Deserialize, Serialize};

/// What became of a request that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureOutcome {
    /// It was not run: this is proved.
    NotRun,
    /// Whether it ran is not known.
    Unknown,
    /// It ran and failed.
    Failed,
}

/// Stable codes of failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The request is malformed.
    InvalidRequest,
    /// The request's body is over its bound.
    BodyTooLarge,
    /// No organisation could be told from the request.
    UnknownOrganisation,
    /// No backend server is declared for the model.
    UnknownModel,
    /// No backend server is declared for the path.
    UnknownRoute,
    /// Every server that could be asked refused.
    Refused,
    /// The connection to the server's agent was lost before the answer's head.
    ConnectionLost,
    /// The backend server failed while it ran the request.
    ServerFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The router is shutting down.
    ShuttingDown,
    /// The rest of an answer that a caller wants to go on with is no longer held.
    AnswerGone,
    /// Too few witnesses of the idempotency key agreed to the run.
    ClaimsUnavailable,
    /// Another call with the idempotency key is under way.
    KeyInUse,
    /// The idempotency key was used for another call.
    KeyReused,
    /// An earlier call with the idempotency key was taken, and its answer is not held.
    AnswerNotKept,
    /// The first run with the idempotency key did not end with a whole answer.
    FirstRunFailed,
}

impl FailureCode {
    /// The HTTP status that goes with the code.
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

/// The `error` object of a failure's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureBody {
    /// The stable code.
    pub code: FailureCode,
    /// What became of the request.
    pub outcome: FailureOutcome,
    /// A sentence for people.
    pub message: String,
    /// Why the last server asked refused, where one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// What became of earlier calls with the same idempotency key, where that can't be told and
    /// `outcome` speaks of this call alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier_attempts: Option<FailureOutcome>,
    /// Seconds after which the caller may try again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_seconds: Option<u32>,
}

impl FailureBody {
    /// A failure that is proved not to have run.
    pub fn not_run(code: FailureCode, message: impl Into<String>) -> Self {
        Self::new(code, FailureOutcome::NotRun, message)
    }

    /// A failure with the given outcome.
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

    /// Adds the reason of the last refusal.
    pub fn because(mut self, reason: RefusalReason) -> Self {
        self.reason = Some(reason.label().to_string());
        self
    }

    /// Adds what became of earlier calls with the same idempotency key.
    pub fn earlier_attempts(mut self, outcome: FailureOutcome) -> Self {
        self.earlier_attempts = Some(outcome);
        self
    }

    /// Adds when the caller may try again.
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_seconds = Some(seconds);
        self
    }

    /// The body as JSON: `{"error": {…}}`.
    pub fn to_json(&self) -> Vec<u8> {
        let envelope = FailureEnvelope { error: self.clone() };
        serde_json::to_vec(&envelope).unwrap_or_default()
    }
}

/// The whole body of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureEnvelope {
    /// The failure.
    pub error: FailureBody,
}
