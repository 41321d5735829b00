//! A client that keeps sending requests which crash every engine, to any router.

use std::time::Duration;

use papayamux_platform_standins::{
    CallPart, CallPrompt, CallRoute, CallerConnection, CallerRequest,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::checks::DEADLINE;
use super::history::{CallKind, CallRecord, CallResult};
use super::options::FatalKind;
use super::servers::{FATAL_BODY, FATAL_PART};
use super::workload::{CallerState, SHARED_PART};

/// Pause between two attempts, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 50..600;
/// Separates this client's random sequence from that of the faults.
const SERIES: u64 = 0x6661_7461_6c00;

/// Sends requests that crash engines until fault injection is over.
pub(super) fn run_fatal_caller(
    caller_state: &CallerState,
    fatal: FatalKind,
    seed: u64,
) -> Vec<CallRecord> {
    let mut random = StdRng::seed_from_u64(seed ^ SERIES);
    let mut calls = Vec::new();
    while !caller_state.faults_are_over() {
        std::thread::sleep(Duration::from_millis(random.random_range(PAUSE_MILLIS)));
        let routers = caller_state.routers();
        let router = random.random_range(0..routers.len());
        let Some(address) = routers[router] else { continue };
        let (id, key) = (format!("fatal-{:x}", calls.len()), caller_state.newest_key());
        let sent = caller_state.now();
        let connection = CallerConnection::open(address, DEADLINE);
        let text = text(&id, &key, fatal);
        let answer = connection.and_then(|mut connection| connection.exchange(&text));
        let result = match answer {
            Some(answer) if answer.whole && answer.promises_not_run() => CallResult::NotRun,
            Some(answer) if answer.whole => CallResult::Failed(answer.status),
            _ => CallResult::Nothing,
        };
        let kind = CallKind::ResumableStream;
        calls.push(CallRecord { id, kind, router, key, sent, ended: caller_state.now(), result });
    }
    calls
}

fn text(id: &str, key: &str, fatal: FatalKind) -> String {
    let last = CallPart { id: 0x1a57, tokens: 50 };
    let (parts, body) = match fatal {
        FatalKind::Part => {
            let part = CallPart { id: FATAL_PART, tokens: 400 };
            (vec![SHARED_PART, part, last], format!("{FATAL_BODY} {id}"))
        }
        FatalKind::Content | FatalKind::Absent => (vec![SHARED_PART], FATAL_BODY.to_string()),
    };
    let request = CallerRequest::builder()
        .route(CallRoute::ResumableStream)
        .id(id.to_string())
        .key(key.to_string())
        .left(DEADLINE)
        .prompt(CallPrompt { parts, answer_tokens: 8 })
        .body(body)
        .build();
    request.text()
}
