//! Callers that send requests at scheduled times and retry a refused request once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{send, Answer, CallPart, CallPrompt, CallRoute, CallerRequest};

use super::engine_model::{OWN_TOKENS, SHARED_TOKENS};
use super::load_pattern::PlannedCall;
use super::summary::CallOutcome;
use crate::tasks::TaskError;

/// Deadline of a request, including its retry. A caller also waits at most this long for the answer
/// to one attempt.
const REQUEST_DEADLINE: Duration = Duration::from_secs(3);

/// Maximum pause before a retry: a third of the deadline.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of tokens in an answer: six for each of its eight events.
const MAX_ANSWER_TOKENS: u64 = 48;
/// First identifier of callers' own prompt parts, above those of shared parts.
const FIRST_OWN_PART_ID: u64 = 0x10_000;

/// Returns the API key of an organisation.
pub(super) fn organisation_key(organisation: usize) -> String {
    format!("key-{organisation}")
}

/// Sends each call at its scheduled time from a thread of its own and returns the outcomes.
pub(super) fn run_calls(
    calls: &[PlannedCall],
    routers: &[SocketAddr],
) -> Result<Vec<CallOutcome>, TaskError> {
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        let running: Vec<_> = calls
            .iter()
            .enumerate()
            .map(|(number, call)| {
                let send_at = started_at + call.at;
                std::thread::sleep(send_at.saturating_duration_since(Instant::now()));
                scope.spawn(move || run_call(number, *call, routers))
            })
            .collect();
        let joined = running.into_iter().map(|call| call.join());
        joined.map(|outcome| outcome.map_err(|_| "a caller panicked".into())).collect()
    })
}

fn run_call(number: usize, call: PlannedCall, routers: &[SocketAddr]) -> CallOutcome {
    let started_at = Instant::now();
    let first = send_attempt(number, 0, call, routers, REQUEST_DEADLINE);
    let pause = first.as_ref().and_then(pause_before_retry);
    let (answer, retried_after) = match pause {
        None => (first, Duration::ZERO),
        Some(pause) => {
            std::thread::sleep(pause);
            let retried_after = started_at.elapsed();
            let left = REQUEST_DEADLINE.saturating_sub(retried_after);
            (send_attempt(number, 1, call, routers, left), retried_after)
        }
    };
    let told = answer.as_ref().is_some_and(Answer::promises_not_run);
    let served = answer.filter(|answer| answer.status == 200 && answer.whole);
    let first_event = served.map(|answer| retried_after + answer.head_after);
    CallOutcome { organisation: call.organisation, first_event, told }
}

/// Returns the pause that a refusal asks for, at most [`MAX_PAUSE`].
fn pause_before_retry(answer: &Answer) -> Option<Duration> {
    let pause = answer.retry_after().filter(|_| answer.promises_not_run())?;
    Some(pause.min(MAX_PAUSE))
}

fn send_attempt(
    number: usize,
    attempt: usize,
    call: PlannedCall,
    routers: &[SocketAddr],
    left: Duration,
) -> Option<Answer> {
    let router = routers[(number + attempt) % routers.len()];
    let shared = CallPart { id: call.part + 1, tokens: SHARED_TOKENS };
    let own = CallPart { id: FIRST_OWN_PART_ID + number as u64, tokens: OWN_TOKENS };
    let request = CallerRequest::builder()
        .route(CallRoute::ResumableStream)
        .id(format!("{number:x}-{attempt}"))
        .key(organisation_key(call.organisation))
        .left(left)
        .prompt(CallPrompt { parts: vec![shared, own], answer_tokens: MAX_ANSWER_TOKENS })
        .build();
    send(router, &request.text(), REQUEST_DEADLINE)
}
