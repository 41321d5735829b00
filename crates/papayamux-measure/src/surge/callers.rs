//! Callers that come at drawn times, and come back once when they are told to.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{send, Answer, HOST};

use super::engine_model::{OWN_TOKENS, SHARED_TOKENS};
use super::load_pattern::PlannedCall;
use super::summary::CallOutcome;

/// The time that a caller has.
const DEADLINE: Duration = Duration::from_secs(3);

/// The key of an organisation.
pub(super) fn key_of(organisation: usize) -> String {
    format!("key-{organisation}")
}

/// Sends all calls at their times, each from a thread of its own; returns their outcomes.
pub(super) fn play_calls(calls: &[PlannedCall], routers: &[SocketAddr]) -> Vec<CallOutcome> {
    let begun = Instant::now();
    std::thread::scope(|scope| {
        let running: Vec<_> = calls
            .iter()
            .enumerate()
            .map(|(number, call)| {
                let due = begun + call.at;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                scope.spawn(move || play_call(number, *call, routers))
            })
            .collect();
        running.into_iter().filter_map(|call| call.join().ok()).collect()
    })
}

fn play_call(number: usize, call: PlannedCall, routers: &[SocketAddr]) -> CallOutcome {
    let begun = Instant::now();
    let first = try_call(number, 0, call, routers, DEADLINE);
    let pause = first.as_ref().and_then(pause_before_return);
    let (answer, tried) = match pause {
        None => (first, Duration::ZERO),
        Some(pause) => {
            std::thread::sleep(pause);
            let tried = begun.elapsed();
            let left = DEADLINE.saturating_sub(tried);
            (try_call(number, 1, call, routers, left), tried)
        }
    };
    let served = answer.filter(|answer| answer.status == 200 && answer.whole);
    let first_event = served.map(|answer| tried + answer.head_after);
    CallOutcome { organisation: call.organisation, first_event }
}

/// How long a caller that was turned away is told to wait.
fn pause_before_return(answer: &Answer) -> Option<Duration> {
    let seconds: f64 = answer.header("retry-after")?.parse().ok()?;
    (answer.status == 503).then(|| Duration::from_secs_f64(seconds.clamp(0.0, 1.0)))
}

fn try_call(
    number: usize,
    attempt: usize,
    call: PlannedCall,
    routers: &[SocketAddr],
    left: Duration,
) -> Option<Answer> {
    let router = routers[(number + attempt) % routers.len()];
    let text = format!(
        "POST /chat/a HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {number:x}-{attempt}\r\n\
         X-Api-Key: {}\r\nDeadline-Milliseconds: {}\r\nModel: m\r\nToken-Counts: {},48\r\n\
         Prompt-Prefix: {:x}:{SHARED_TOKENS},{:x}:{OWN_TOKENS}\r\nContent-Length: 0\r\n\r\n",
        key_of(call.organisation),
        left.as_millis(),
        SHARED_TOKENS + OWN_TOKENS,
        call.part + 1,
        0x10_000 + number,
    );
    send(router, &text, DEADLINE)
}
