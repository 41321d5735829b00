//! Callers that send requests at scheduled times and retry a refused request once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{send, Answer, CallPart, CallPrompt, CallRoute, CallerRequest};

use super::engine_model::{OWN_TOKENS, SHARED_TOKENS};
use super::load_pattern::PlannedCall;
use super::summary::CallOutcome;
use crate::tasks::TaskError;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(3);

/// Maximum pause before a retry: a third of the deadline.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of tokens in an answer: six for each of its eight events.
const ANSWER_TOKENS: u64 = 48;
/// First identifier of callers' own prompt parts, above those of shared parts.
const OWN_PARTS_FROM: u64 = 0x10_000;

/// Returns the key of an organisation.
pub(super) fn key_of(organisation: usize) -> String {
    format!("key-{organisation}")
}

/// Sends each call at its scheduled time from a thread of its own and returns the outcomes.
pub(super) fn run_calls(
    calls: &[PlannedCall],
    routers: &[SocketAddr],
) -> Result<Vec<CallOutcome>, TaskError> {
    let begun = Instant::now();
    std::thread::scope(|scope| {
        let running: Vec<_> = calls
            .iter()
            .enumerate()
            .map(|(number, call)| {
                let due = begun + call.at;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                scope.spawn(move || run_call(number, *call, routers))
            })
            .collect();
        let joined = running.into_iter().map(|call| call.join());
        joined.map(|outcome| outcome.map_err(|_| "a caller panicked".into())).collect()
    })
}

fn run_call(number: usize, call: PlannedCall, routers: &[SocketAddr]) -> CallOutcome {
    let begun = Instant::now();
    let first = try_call(number, 0, call, routers, DEADLINE);
    let pause = first.as_ref().and_then(pause_before_retry);
    let (answer, tried) = match pause {
        None => (first, Duration::ZERO),
        Some(pause) => {
            std::thread::sleep(pause);
            let tried = begun.elapsed();
            let left = DEADLINE.saturating_sub(tried);
            (try_call(number, 1, call, routers, left), tried)
        }
    };
    let told = answer.as_ref().is_some_and(Answer::promises_not_run);
    let served = answer.filter(|answer| answer.status == 200 && answer.whole);
    let first_event = served.map(|answer| tried + answer.head_after);
    CallOutcome { organisation: call.organisation, first_event, told }
}

/// Returns the pause that a refusal asks for, at most [`MAX_PAUSE`].
fn pause_before_retry(answer: &Answer) -> Option<Duration> {
    let pause = answer.retry_after().filter(|_| answer.promises_not_run())?;
    Some(pause.min(MAX_PAUSE))
}

fn try_call(
    number: usize,
    attempt: usize,
    call: PlannedCall,
    routers: &[SocketAddr],
    left: Duration,
) -> Option<Answer> {
    let router = routers[(number + attempt) % routers.len()];
    let shared = CallPart { id: call.part + 1, tokens: SHARED_TOKENS };
    let own = CallPart { id: OWN_PARTS_FROM + number as u64, tokens: OWN_TOKENS };
    let request = CallerRequest::builder()
        .route(CallRoute::ResumableStream)
        .id(format!("{number:x}-{attempt}"))
        .key(key_of(call.organisation))
        .left(left)
        .prompt(CallPrompt { parts: vec![shared, own], answer_tokens: ANSWER_TOKENS })
        .build();
    send(router, &request.text(), DEADLINE)
}
