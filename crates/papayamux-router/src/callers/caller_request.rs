//! Reads a caller's request: its organisation, and its body up to the size limit.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use papayamux_protocol::failure::{FailureBody, FailureCode};
use papayamux_protocol::headers::{HOP_BY_HOP, ORGANISATION};
use papayamux_protocol::link::HeaderField;
use papayamux_state::ids::OrganisationId;
use papayamux_state::quantities::ByteCount;

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
/// body is too long or incomplete.
pub async fn read_request(
    request: Request<Incoming>,
    longest_body: ByteCount,
) -> Result<CallerRequest, FailureBody> {
    let (head, body) = request.into_parts();
    let organisation = read_organisation(&head.headers)?;
    let limit = longest_body.get() as usize;
    let body = Limited::new(body, limit).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() {
            let message = format!("the body is longer than {longest_body} bytes");
            FailureBody::not_run(FailureCode::BodyTooLarge, message)
        } else {
            let message = format!("the body did not arrive: {error}");
            FailureBody::not_run(FailureCode::InvalidRequest, message)
        }
    })?;
    Ok(CallerRequest { head, body: body.to_bytes(), organisation })
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
