//! Resumes a streamed answer for a caller, whichever router began it.

use papayamux_protocol::event_id::EventId;
use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::headers::LAST_EVENT_ID;
use papayamux_protocol::link::ResumePoint;
use papayamux_state::ids::OrganisationId;

use super::caller_request::{header_text, CallerRequest};
use super::offer::AcceptedRequest;
use super::CallerFrontend;
use crate::agents::{StreamEvent, StreamOrigin};

/// Returns the rest of the answer whose last received event the caller names. The request's own
/// body is never run.
pub async fn handle_resume(
    frontend: &CallerFrontend,
    request: &CallerRequest,
) -> Result<AcceptedRequest, FailureBody> {
    let outcome = resume_answer(frontend, request).await;
    frontend.metrics.caller_resumes.count(match &outcome {
        Ok(_) => "resumed",
        Err(failure) if failure.code == FailureCode::InvalidRequest => "invalid",
        Err(failure) if failure.code == FailureCode::AnswerGone => "gone",
        Err(_) => "unreachable",
    });
    outcome
}

async fn resume_answer(
    frontend: &CallerFrontend,
    request: &CallerRequest,
) -> Result<AcceptedRequest, FailureBody> {
    let event = read_event_id(request)?;
    let record = frontend.directory.record(&event.server).ok_or_else(gone)?;
    let link = record.peer.link().await.map_err(|_| unreachable())?;
    let origin = origin_of(&event, &request.organisation);
    let from = ResumePoint::AfterEvent(event.number);
    let mut stream = link.resume_stream(origin, from).ok_or_else(unreachable)?;
    match stream.next_event().await {
        StreamEvent::Head(head) => {
            let (id, server, slot) = (event.request, event.server, None);
            Ok(AcceptedRequest { id, server, head, stream, slot })
        }
        StreamEvent::Lost => Err(unreachable()),
        _ => Err(gone()),
    }
}

fn origin_of(event: &EventId, organisation: &OrganisationId) -> StreamOrigin {
    StreamOrigin {
        id: event.request,
        agent: None,
        organisation: organisation.clone(),
        start_before: None,
        idempotent: true,
    }
}

fn read_event_id(request: &CallerRequest) -> Result<EventId, FailureBody> {
    let text = header_text(&request.head.headers, LAST_EVENT_ID).unwrap_or_default();
    text.parse().map_err(|error| {
        let message = format!("the header {LAST_EVENT_ID}: {error}");
        FailureBody::not_run(FailureCode::InvalidRequest, message)
    })
}

fn gone() -> FailureBody {
    let message = "the rest of the answer is no longer held; what became of it is not known, and \
                   nothing was run for this request";
    FailureBody::new(FailureCode::AnswerGone, FailureOutcome::Unknown, message)
}

fn unreachable() -> FailureBody {
    let message = "the agent that holds the answer can't be reached; nothing was run for this \
                   request";
    FailureBody::new(FailureCode::ConnectionLost, FailureOutcome::Unknown, message).retry_after(1)
}
