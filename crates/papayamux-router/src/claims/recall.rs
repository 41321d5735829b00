//! Fetches the answer of the first run for a retry.

use bytes::Bytes;
use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::headers::IDEMPOTENCY_REPLAYED;
use papayamux_protocol::link::{HeaderField, RecallRequest};
use papayamux_state::claims::RunLocation;
use papayamux_state::refusal::RefusalReason;

use super::KeyedCall;
use crate::agents::StreamEvent;
use crate::callers::{AcceptedRequest, CallerFrontend};

/// Seconds after which the caller may retry.
const RETRY_AFTER_SECONDS: u32 = 1;

/// The outcome of fetching the first run's answer.
pub enum RecallOutcome {
    /// The agent sends the answer.
    Accepted(Box<AcceptedRequest>),
    /// The agent has no record of the run: not yet, or no longer.
    NotThere,
    /// The answer can't be fetched.
    Failed(FailureBody),
}

/// Fetches the answer from the agent at `place`.
pub async fn recall_answer(
    frontend: &CallerFrontend,
    call: &KeyedCall,
    place: &RunLocation,
) -> RecallOutcome {
    let known = frontend.fleets.peer(&place.server);
    let peer = known.unwrap_or_else(|| frontend.directory.peer_at(&place.server, place.agent));
    let unreachable = || RecallOutcome::Failed(key_in_use("the first run's agent is out of reach"));
    let Ok(link) = peer.link().await else { return unreachable() };
    let request = RecallRequest {
        organisation: call.organisation.clone(),
        key: call.idempotency_key.clone(),
        fingerprint: call.fingerprint,
    };
    let id = frontend.request_ids.generate();
    let Some(mut stream) = link.recall_stream(id, request) else { return unreachable() };
    match stream.next_event().await {
        StreamEvent::Head(mut head) => {
            head.headers.push(HeaderField {
                name: IDEMPOTENCY_REPLAYED.to_string(),
                value: Bytes::from_static(b"true"),
            });
            let server = place.server.clone();
            RecallOutcome::Accepted(Box::new(AcceptedRequest {
                id,
                server,
                head,
                stream,
                slot: None,
            }))
        }
        StreamEvent::Refused(notice) => match notice.reason {
            RefusalReason::AnswerNotKept => RecallOutcome::NotThere,
            reason => RecallOutcome::Failed(failure_of(reason)),
        },
        _ => unreachable(),
    }
}

fn failure_of(reason: RefusalReason) -> FailureBody {
    match reason {
        RefusalReason::KeyReused => key_reused(),
        RefusalReason::FirstRunFailed => {
            let message = "the first run with this key did not end with a whole answer";
            unknown(FailureCode::FirstRunFailed, message).with_reason(reason)
        }
        reason => key_in_use("the first run's answer could not be fetched").with_reason(reason),
    }
}

/// Returns the failure for a key that was used for another call. This call was not run.
pub fn key_reused() -> FailureBody {
    let message = "the idempotency key was used for a call with another method, path or body";
    FailureBody::not_run(FailureCode::KeyReused, message).with_reason(RefusalReason::KeyReused)
}

/// Returns the failure for a key that another attempt holds, whose outcome is unknown.
pub fn key_in_use(message: &str) -> FailureBody {
    unknown(FailureCode::KeyInUse, message).retry_after(RETRY_AFTER_SECONDS)
}

/// Returns the failure for a first run whose answer isn't kept, or never was.
pub fn answer_not_kept() -> FailureBody {
    let message = "an earlier call with this key was brought to a server that holds no answer";
    unknown(FailureCode::AnswerNotKept, message)
        .with_reason(RefusalReason::AnswerNotKept)
        .retry_after(RETRY_AFTER_SECONDS)
}

fn unknown(code: FailureCode, message: &str) -> FailureBody {
    FailureBody::new(code, FailureOutcome::Unknown, message)
}
