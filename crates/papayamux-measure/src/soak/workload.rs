//! Callers: what they send, and what they make of the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{
    Answer, CallPart, CallPrompt, CallRoute, CallerConnection, CallerRequest,
};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::checks::DEADLINE;
use super::history::{CallKind, CallRecord, Told};
use super::servers::{plain_body, stream_event, EVENTS};

/// How long a caller waits for more of an answer: longer than its deadline, so that a request that
/// is never answered is seen.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// The pause between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 2..30;
/// Callers that go on with the key that was replaced: one in this many requests.
const OLD_KEY_EVERY: u32 = 5;
/// Requests of a caller on one connection.
const CALLS_PER_CONNECTION: u32 = 40;

/// The prompt of every stream: a shared part and one of its own. Their sizes matter to no check.
const PROMPT_PARTS: [CallPart; 2] =
    [CallPart { id: 0x5c1e, tokens: 800 }, CallPart { id: 0x91bd, tokens: 660 }];
/// The most tokens of a stream's answer.
const ANSWER_TOKENS: u64 = 80;
/// Spreads the callers' numbers over the seeds (the golden ratio in 64 bits).
const SEED_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// What callers share with whoever changes the fleet.
#[derive(Debug)]
pub(super) struct CallerBoard {
    begun: Instant,
    routers: Mutex<Vec<Option<SocketAddr>>>,
    keys: Mutex<Vec<String>>,
    calls: Mutex<Vec<CallRecord>>,
    faults_over: AtomicBool,
    ended: AtomicBool,
}

impl CallerBoard {
    pub(super) fn new(begun: Instant, routers: usize, key: &str) -> Arc<Self> {
        Arc::new(Self {
            begun,
            routers: Mutex::new(vec![None; routers]),
            keys: Mutex::new(vec![key.to_string()]),
            calls: Mutex::default(),
            faults_over: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        })
    }

    pub(super) fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Where a router is, once it is there.
    pub(super) fn set_router(&self, router: usize, address: Option<SocketAddr>) {
        self.routers.lock()[router] = address;
    }

    /// Adds the key that callers use from now on.
    pub(super) fn add_key(&self, key: &str) {
        self.keys.lock().push(key.to_string());
    }

    /// Where all routers are.
    pub(super) fn routers(&self) -> Vec<Option<SocketAddr>> {
        self.routers.lock().clone()
    }

    /// The key that was added last.
    pub(super) fn newest_key(&self) -> String {
        self.keys.lock().last().cloned().unwrap_or_default()
    }

    /// Notes that there are no more faults.
    pub(super) fn end_faults(&self) {
        self.faults_over.store(true, Ordering::Relaxed);
    }

    pub(super) fn faults_are_over(&self) -> bool {
        self.faults_over.load(Ordering::Relaxed)
    }

    pub(super) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    pub(super) fn take_calls(&self) -> Vec<CallRecord> {
        std::mem::take(&mut *self.calls.lock())
    }
}

/// One caller, until the board says that it is over.
pub(super) fn run_caller(board: &CallerBoard, number: u64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ number.wrapping_mul(SEED_SPREAD));
    let mut kept: Option<KeptConnection> = None;
    let mut count = 0u64;
    while !board.ended.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.random_range(PAUSE_MILLIS)));
        count += 1;
        let id = format!("{number:x}-{count:x}");
        if kept.as_ref().is_none_or(|kept| kept.calls >= CALLS_PER_CONNECTION) {
            kept = connect(board, &mut random, id.clone());
        }
        let Some(connection) = &mut kept else { continue };
        let call = DraftCall::draw(board, &mut random, id, connection.router);
        let sent = board.now();
        connection.calls += 1;
        let answer = connection.connection.exchange(&call.text());
        let ends = answer.as_ref().is_none_or(Answer::ends_connection);
        let record = call.record(sent, board.now(), answer.as_ref());
        board.calls.lock().push(record);
        if ends {
            kept = None;
        }
    }
}

/// A connection that is used for several requests.
struct KeptConnection {
    router: usize,
    connection: CallerConnection,
    calls: u32,
}

/// A connection to a router that is there; a failure to connect is recorded as a request without an
/// answer, so that a router which takes nobody is seen.
fn connect(board: &CallerBoard, random: &mut StdRng, id: String) -> Option<KeptConnection> {
    let routers = board.routers.lock().clone();
    let router = random.random_range(0..routers.len());
    let address = routers[router]?;
    let sent = board.now();
    if let Some(connection) = CallerConnection::open(address, ANSWER_TIMEOUT) {
        return Some(KeptConnection { router, connection, calls: 0 });
    }
    let call = DraftCall::draw(board, random, id, router);
    board.calls.lock().push(call.record(sent, board.now(), None));
    None
}

struct DraftCall {
    id: String,
    kind: CallKind,
    router: usize,
    key: String,
}

impl DraftCall {
    fn draw(board: &CallerBoard, random: &mut StdRng, id: String, router: usize) -> Self {
        let keys = board.keys.lock();
        let newest = keys.len() - 1;
        let old = random.random_ratio(1, OLD_KEY_EVERY);
        let key = keys[newest.saturating_sub(usize::from(old))].clone();
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        Self { id, kind, router, key }
    }

    fn text(&self) -> String {
        let route = match self.kind {
            CallKind::Idempotent => CallRoute::Idempotent,
            CallKind::Once => CallRoute::Once,
            CallKind::ResumableStream => CallRoute::ResumableStream,
            CallKind::OnceStream => CallRoute::OnceStream,
        };
        let prompt = self
            .kind
            .is_stream()
            .then(|| CallPrompt { parts: PROMPT_PARTS.to_vec(), answer_tokens: ANSWER_TOKENS });
        let request = CallerRequest::builder()
            .route(route)
            .id(self.id.clone())
            .key(self.key.clone())
            .left(DEADLINE)
            .maybe_prompt(prompt)
            .build();
        request.text()
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
            _ if answer.promises_not_run() => Told::NotRun,
            status => Told::Failed(status),
        }
    }

    fn whole_answer(&self, answer: &Answer) -> Told {
        let expected = match self.kind.is_stream() {
            true => (1..=EVENTS).map(|number| stream_event(&self.id, number)).collect(),
            false => plain_body(&self.id),
        };
        match answer.text() == expected && answer.is_signed() {
            true => Told::Served,
            false => Told::Wrong(format!("{:?}", answer.text())),
        }
    }
}
