//! The outcome of a request from its caller's point of view.

use bytes::Bytes;
use http::{Method, StatusCode};
use papayamux_protocol::chat::ChatRequest;
use papayamux_protocol::failure::{FailureBody, FailureEnvelope, FailureOutcome};

use crate::caller::{Caller, CallerAnswer, CallerError};

/// The outcome of a request, as far as its caller knows.
#[derive(Debug)]
pub enum CallerOutcome<A> {
    /// The complete answer was received.
    Answered(A),
    /// The router couldn't be reached, and no part of the request was sent.
    Unsent,
    /// The router reported a failure and the outcome of the request.
    Reported(FailureBody),
    /// The connection failed, or the answer is invalid, truncated or ended by a failure event.
    Broken(CallerError),
}

impl<A> CallerOutcome<A> {
    /// Returns the outcome that the router reported, if it reported a failure.
    pub fn reported_outcome(&self) -> Option<FailureOutcome> {
        match self {
            CallerOutcome::Reported(failure) => Some(failure.outcome),
            _ => None,
        }
    }

    fn of(result: Result<A, CallerError>) -> Self {
        match result {
            Ok(answer) => CallerOutcome::Answered(answer),
            Err(CallerError::Client(error)) if error.nothing_was_sent() => CallerOutcome::Unsent,
            Err(CallerError::Failure { status, body }) => match serde_json::from_str(&body) {
                Ok(FailureEnvelope { error }) => CallerOutcome::Reported(error),
                Err(_) => CallerOutcome::Broken(CallerError::Failure { status, body }),
            },
            Err(error) => CallerOutcome::Broken(error),
        }
    }
}

impl Caller {
    /// Sends a call exactly once, without retries, and returns its outcome.
    pub async fn call_once(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> CallerOutcome<Bytes> {
        CallerOutcome::of(self.exchange_once(method, path, headers, body).await)
    }

    /// Sends a chat request exactly once, without retries, and returns its outcome.
    pub async fn chat_once(
        &self,
        request: &ChatRequest,
        headers: &[(&str, &str)],
    ) -> CallerOutcome<CallerAnswer> {
        CallerOutcome::of(self.stream_once(request, headers, CallerAnswer::default()).await)
    }

    /// Resumes the partial answer `before` at this caller's router.
    pub async fn resume_once(
        &self,
        request: &ChatRequest,
        before: CallerAnswer,
    ) -> CallerOutcome<CallerAnswer> {
        CallerOutcome::of(self.stream_once(request, &[], before).await)
    }

    async fn exchange_once(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Bytes, CallerError> {
        let answer = self.send_once(method, path, headers, body).await?;
        let status = answer.head.status;
        let body = answer.read_body(crate::caller::MAX_ANSWER_BYTES).await?;
        if status == StatusCode::OK {
            return Ok(body);
        }
        Err(CallerError::Failure { status, body: String::from_utf8_lossy(&body).into_owned() })
    }
}
