//! Getting the first run's answer for a repeat.

use bytes::Bytes;
use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_protocol::headers::IDEMPOTENCY_REPLAYED;
use papayamux_protocol::link::{HeaderField, RecallRequest};
use papayamux_state::claims::RunPlace;
use papayamux_state::refusal::RefusalReason;

use super::KeyedCall;
use crate::agents::StreamEvent;
use crate::callers::{CallerDesk, TakenRequest};

/// Seconds after which a repeat may be worth another try.
const RETRY_AFTER_SECONDS: u32 = 1;

/// What came of asking for the first run's answer.
pub enum RecallOutcome {
    /// Here it is.
    Taken(Box<TakenRequest>),
    /// The agent knows of no such run, yet or any more.
    NotThere,
    /// It can't be had.
    Failed(FailureBody),
}

/// Asks the agent at `place`.
pub async fn recall_answer(desk: &CallerDesk, call: &KeyedCall, place: &RunPlace) -> RecallOutcome {
    let known = desk.fleets.peer(&place.server);
    let peer = known.unwrap_or_else(|| desk.directory.peer_at(&place.server, place.agent));
    let unreachable = || RecallOutcome::Failed(key_in_use("the first run's agent is out of reach"));
    let Ok(link) = peer.link().await else { return unreachable() };
    let request = RecallRequest {
        organisation: call.organisation.clone(),
        key: call.idempotency_key.clone(),
        fingerprint: call.fingerprint,
    };
    let id = desk.request_ids.draw();
    let Some(mut stream) = link.recall_stream(id, request) else { return unreachable() };
    match stream.next_event().await {
        StreamEvent::Head(mut head) => {
            head.headers.push(HeaderField {
                name: IDEMPOTENCY_REPLAYED.to_string(),
                value: Bytes::from_static(b"true"),
            });
            let server = place.server.clone();
            RecallOutcome::Taken(Box::new(TakenRequest { id, server, head, stream, place: None }))
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

/// The key was used for another call; this one was not run.
pub fn key_reused() -> FailureBody {
    let message = "the idempotency key was used for a call with another method, path or body";
    FailureBody::not_run(FailureCode::KeyReused, message).with_reason(RefusalReason::KeyReused)
}

/// Another attempt holds the key, and what became of it can't be told.
pub fn key_in_use(message: &str) -> FailureBody {
    unknown(FailureCode::KeyInUse, message).retry_after(RETRY_AFTER_SECONDS)
}

/// The first run's answer is held no longer, if it ever was.
pub fn answer_not_kept() -> FailureBody {
    let message = "an earlier call with this key was brought to a server that holds no answer";
    unknown(FailureCode::AnswerNotKept, message)
        .with_reason(RefusalReason::AnswerNotKept)
        .retry_after(RETRY_AFTER_SECONDS)
}

fn unknown(code: FailureCode, message: &str) -> FailureBody {
    FailureBody::new(code, FailureOutcome::Unknown, message)
}
