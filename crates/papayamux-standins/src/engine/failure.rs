//! Engine errors and their HTTP responses.

use http::Response;
use papayamux_protocol::engine::{EngineError, EngineErrorCode, EngineFailure};
use papayamux_transport::http::AnswerBody;

use crate::respond;

/// The result of handling a request.
pub type EngineResult = Result<Response<AnswerBody>, EngineError>;

/// Creates an error with the given code.
pub fn engine_error(code: EngineErrorCode, message: impl Into<String>) -> EngineError {
    EngineError { code, message: message.into(), highest_fence: None }
}

/// Creates the error for a malformed request.
pub fn invalid_request(error: impl std::fmt::Display) -> EngineError {
    engine_error(EngineErrorCode::InvalidRequest, error.to_string())
}

/// Builds the response for a failed request.
pub fn failure_response(error: EngineError) -> Response<AnswerBody> {
    respond::json(error.code.status(), &EngineFailure { error })
}
