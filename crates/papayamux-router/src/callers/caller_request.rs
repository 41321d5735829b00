//! Reads a caller's request: its organisation, and its body up to the size limit.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request};
use papayamux_protocol::failure::{FailureBody, FailureCode};
use papayamux_protocol::headers::{HOP_BY_HOP, ORGANISATION};
use papayamux_protocol::link::HeaderField;
use papayamux_state::ids::OrganisationId;
use papayamux_state::quantities::ByteCount;
use papayamux_state::refusal::RefusalReason;
use papayamux_transport::http::{BodyReadError, CallerBody};

use crate::settings::RouterSettings;

/// Copies of a body beside its segments: the body in one piece, and the frame with it.
const BODY_COPIES: u64 = 2;
/// Time after which a caller may retry for whose body there was no memory.
const NO_MEMORY_RETRY_SECONDS: u32 = 1;

/// A request with its complete body.
pub struct CallerRequest {
    /// Method, path and headers.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
    /// The calling organisation.
    pub organisation: OrganisationId,
}

/// Reads a request with its whole body. Fails if the organisation is missing or invalid, or the
/// body is too long or incomplete, or there is no memory for it.
pub async fn read_request(
    request: Request<CallerBody>,
    settings: &RouterSettings,
) -> Result<CallerRequest, FailureBody> {
    let (head, body) = request.into_parts();
    let organisation = read_organisation(&head.headers)?;
    let connection = body.connection();
    let body = body.read(settings.longest_body.get(), settings.start_within).await;
    let body = body.map_err(unread_body)?;
    // The body is kept in one piece until the answer ends, and copied into a frame for an agent.
    let copies = ByteCount::new(BODY_COPIES * body.len() as u64);
    connection.claim_for_exchange(copies).map_err(|_| unread_body(BodyReadError::NoMemory))?;
    Ok(CallerRequest { head, body: body.to_bytes(), organisation })
}

fn unread_body(error: BodyReadError) -> FailureBody {
    let message = error.to_string();
    match error {
        BodyReadError::TooLong { .. } => FailureBody::not_run(FailureCode::BodyTooLarge, message),
        BodyReadError::Incomplete => FailureBody::not_run(FailureCode::InvalidRequest, message),
        BodyReadError::NoMemory => FailureBody::not_run(FailureCode::Refused, message)
            .with_reason(RefusalReason::NoMemory)
            .retry_after(NO_MEMORY_RETRY_SECONDS),
    }
}

fn read_organisation(headers: &HeaderMap) -> Result<OrganisationId, FailureBody> {
    let unknown = |message: String| FailureBody::not_run(FailureCode::UnknownOrganisation, message);
    let value = headers
        .get(ORGANISATION)
        .ok_or_else(|| unknown(format!("the header {ORGANISATION} is missing")))?;
    let text = value.to_str().unwrap_or_default();
    text.parse().map_err(|error| unknown(format!("the header {ORGANISATION}: {error}")))
}

/// Returns the headers that are forwarded to the backend server.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns the value of a header, if the header is present and is text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
