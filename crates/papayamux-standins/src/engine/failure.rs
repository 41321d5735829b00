//! Failures of the engine as responses.

use http::Response;
use papayamux_protocol::engine::{EngineError, EngineErrorCode, EngineFailure};
use papayamux_transport::http::AnswerBody;

use crate::respond;

/// The result of handling a request.
pub type EngineResult = Result<Response<AnswerBody>, EngineError>;

/// A failure with the given code.
pub fn engine_error(code: EngineErrorCode, message: impl Into<String>) -> EngineError {
    EngineError { code, message: message.into(), highest_fence: None }
}

/// A failure of a request that is malformed.
pub fn invalid_request(error: impl std::fmt::Display) -> EngineError {
    engine_error(EngineErrorCode::InvalidRequest, error.to_string())
}

/// The response to a request that failed.
pub fn failure_response(error: EngineError) -> Response<AnswerBody> {
    respond::json(error.code.status(), &EngineFailure { error })
}
