//! Callers: what they send, and what they make of the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use papayamux_platform_standins::{Answer, CallerConnection, HOST};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::checks::DEADLINE;
use super::history::{CallKind, CallRecord, Told};
use super::servers::{plain_body, stream_event, EVENTS};

/// How long a caller waits for more of an answer: longer than its deadline, so that a request that
/// is never answered is seen.
const WAIT_WITHIN: Duration = Duration::from_secs(6);
/// The pause between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 2..30;
/// Callers that go on with the key that was replaced: one in this many requests.
const OLD_KEY_EVERY: u32 = 5;
/// Requests of a caller on one connection.
const CALLS_PER_CONNECTION: u32 = 40;

/// What callers share with whoever changes the fleet.
#[derive(Debug)]
pub(super) struct CallerBoard {
    begun: Instant,
    routers: Mutex<Vec<Option<SocketAddr>>>,
    keys: Mutex<Vec<String>>,
    calls: Mutex<Vec<CallRecord>>,
    ended: AtomicBool,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl CallerBoard {
    pub(super) fn new(begun: Instant, routers: usize, key: &str) -> Arc<Self> {
        Arc::new(Self {
            begun,
            routers: Mutex::new(vec![None; routers]),
            keys: Mutex::new(vec![key.to_string()]),
            calls: Mutex::default(),
            ended: AtomicBool::new(false),
        })
    }

    pub(super) fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Where a router is, once it is there.
    pub(super) fn set_router(&self, router: usize, address: Option<SocketAddr>) {
        locked(&self.routers)[router] = address;
    }

    /// Adds the key that callers use from now on.
    pub(super) fn add_key(&self, key: &str) {
        locked(&self.keys).push(key.to_string());
    }

    pub(super) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    pub(super) fn take_calls(&self) -> Vec<CallRecord> {
        std::mem::take(&mut *locked(&self.calls))
    }
}

/// One caller, until the board says that it is over.
pub(super) fn run_caller(board: &CallerBoard, number: u64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut kept: Option<(usize, CallerConnection, u32)> = None;
    let mut count = 0u64;
    while !board.ended.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.random_range(PAUSE_MILLIS)));
        if kept.as_ref().is_none_or(|(_, _, calls)| *calls >= CALLS_PER_CONNECTION) {
            kept = connect(board, &mut random);
        }
        let Some((router, connection, calls)) = &mut kept else { continue };
        *calls += 1;
        count += 1;
        let call = DraftCall::draw(board, &mut random, format!("{number:x}-{count:x}"), *router);
        let sent = board.now();
        let answer = connection.exchange(&call.text());
        let closes = answer.as_ref().is_none_or(closes_connection);
        let record = call.record(sent, board.now(), answer.as_ref());
        locked(&board.calls).push(record);
        if closes {
            kept = None;
        }
    }
}

fn connect(board: &CallerBoard, random: &mut StdRng) -> Option<(usize, CallerConnection, u32)> {
    let routers = locked(&board.routers).clone();
    let router = random.random_range(0..routers.len());
    let connection = CallerConnection::open(routers[router]?, WAIT_WITHIN)?;
    Some((router, connection, 0))
}

fn closes_connection(answer: &Answer) -> bool {
    !answer.whole || answer.header("connection").is_some_and(|value| value.contains("close"))
}

struct DraftCall {
    id: String,
    kind: CallKind,
    router: usize,
    key: String,
}

impl DraftCall {
    fn draw(board: &CallerBoard, random: &mut StdRng, id: String, router: usize) -> Self {
        let keys = locked(&board.keys);
        let newest = keys.len() - 1;
        let old = random.random_ratio(1, OLD_KEY_EVERY);
        let key = keys[newest.saturating_sub(usize::from(old))].clone();
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        Self { id, kind, router, key }
    }

    fn text(&self) -> String {
        let (method, path) = match self.kind {
            CallKind::Idempotent => ("GET", "/safe/a"),
            CallKind::Once => ("POST", "/unsafe/a"),
            CallKind::ResumableStream => ("POST", "/chat/a"),
            CallKind::OnceStream => ("POST", "/once/a"),
        };
        let prompt = match self.kind.is_stream() {
            true => {
                "Model: m\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n"
            }
            false => "",
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nX-Api-Key: {}\r\n\
             Deadline-Milliseconds: {}\r\n{prompt}Content-Length: 0\r\n\r\n",
            self.id,
            self.key,
            DEADLINE.as_millis()
        )
    }

    fn record(self, sent: Duration, ended: Duration, answer: Option<&Answer>) -> CallRecord {
        let told = answer.map_or(Told::Nothing, |answer| self.told(answer));
        CallRecord {
            id: self.id,
            kind: self.kind,
            router: self.router,
            key: self.key,
            sent,
            ended,
            told,
        }
    }

    fn told(&self, answer: &Answer) -> Told {
        if !answer.whole {
            return Told::Nothing;
        }
        match answer.status {
            200 => self.whole_answer(answer),
            408 | 421 | 429 | 503 => Told::NotRun,
            status => Told::Failed(status),
        }
    }

    fn whole_answer(&self, answer: &Answer) -> Told {
        let expected = match self.kind.is_stream() {
            true => (1..=EVENTS).map(|number| stream_event(&self.id, number)).collect(),
            false => plain_body(&self.id),
        };
        let signed = answer.header("response-signature").is_some_and(|text| !text.is_empty());
        match answer.text() == expected && signed {
            true => Told::Served,
            false => Told::Wrong(format!("{:?}", answer.text())),
        }
    }
}
