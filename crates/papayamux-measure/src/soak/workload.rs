//! Callers: the requests that they send and the checks of the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{
    Answer, CallPart, CallPrompt, CallRoute, CallerConnection, CallerRequest, ResumedStream,
};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::checks::DEADLINE;
use super::history::{CallKind, CallRecord, CallResult, StreamRecord};
use super::servers::{plain_body, read_events, EVENTS};

/// Time that a caller waits for more of an answer. It exceeds the request's deadline so that a
/// request which is never answered is detected.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 2..30;
/// One in this many requests still carries the key that was replaced.
const OLD_KEY_EVERY: u32 = 5;
/// Maximum number of requests on one connection.
const CALLS_PER_CONNECTION: u32 = 40;

/// Maximum number of connections that a caller tries to resume a stream.
const MAX_CONNECTS: usize = 3;

/// Prompt of every stream: a shared part and one of its own. No check depends on their sizes.
const PROMPT_PARTS: [CallPart; 2] = [SHARED_PART, CallPart { id: 0x91bd, tokens: 660 }];
/// The first part of every prompt.
pub(super) const SHARED_PART: CallPart = CallPart { id: 0x5c1e, tokens: 800 };
/// Maximum number of tokens in the answer of a stream.
const ANSWER_TOKENS: u64 = 80;
/// Derives a distinct seed for each caller (the golden ratio in 64 bits).
const SEED_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// State shared between the callers and the fault injector.
#[derive(Debug)]
pub(super) struct CallerState {
    begun: Instant,
    routers: Mutex<Vec<Option<SocketAddr>>>,
    keys: Mutex<Vec<String>>,
    calls: Mutex<Vec<CallRecord>>,
    streams: Mutex<Vec<StreamRecord>>,
    /// `true` if callers resume streams that break off.
    resumes: bool,
    faults_over: AtomicBool,
    ended: AtomicBool,
}

impl CallerState {
    pub(super) fn new(begun: Instant, routers: usize, key: &str, resumes: bool) -> Arc<Self> {
        Arc::new(Self {
            begun,
            routers: Mutex::new(vec![None; routers]),
            keys: Mutex::new(vec![key.to_string()]),
            calls: Mutex::default(),
            streams: Mutex::default(),
            resumes,
            faults_over: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        })
    }

    pub(super) fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Sets the address of a router, or `None` while the router is down.
    pub(super) fn set_router(&self, router: usize, address: Option<SocketAddr>) {
        self.routers.lock()[router] = address;
    }

    /// Adds the key that callers use from now on.
    pub(super) fn add_key(&self, key: &str) {
        self.keys.lock().push(key.to_string());
    }

    /// Returns the addresses of all routers.
    pub(super) fn routers(&self) -> Vec<Option<SocketAddr>> {
        self.routers.lock().clone()
    }

    /// Returns the most recently added key.
    pub(super) fn newest_key(&self) -> String {
        self.keys.lock().last().cloned().unwrap_or_default()
    }

    /// Records that fault injection is over.
    pub(super) fn end_faults(&self) {
        self.faults_over.store(true, Ordering::Relaxed);
    }

    pub(super) fn faults_are_over(&self) -> bool {
        self.faults_over.load(Ordering::Relaxed)
    }

    pub(super) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    pub(super) fn take_streams(&self) -> Vec<StreamRecord> {
        std::mem::take(&mut *self.streams.lock())
    }

    pub(super) fn take_calls(&self) -> Vec<CallRecord> {
        std::mem::take(&mut *self.calls.lock())
    }
}

/// Runs one caller until the shared state reports the end of the soak.
pub(super) fn run_caller(caller_state: &CallerState, number: u64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ number.wrapping_mul(SEED_SPREAD));
    let mut kept: Option<KeptConnection> = None;
    let mut count = 0u64;
    while !caller_state.is_ended() {
        std::thread::sleep(Duration::from_millis(random.random_range(PAUSE_MILLIS)));
        count += 1;
        let id = format!("{number:x}-{count:x}");
        if kept.as_ref().is_none_or(|kept| kept.calls >= CALLS_PER_CONNECTION) {
            kept = connect(caller_state, &mut random, id.clone());
        }
        let Some(connection) = &mut kept else { continue };
        let call = DraftCall::draw(caller_state, &mut random, id, connection.router);
        let sent = caller_state.now();
        connection.calls += 1;
        let answer = connection.connection.exchange(&call.text());
        let ends = answer.as_ref().is_none_or(Answer::ends_connection);
        let record = call.record(sent, caller_state.now(), answer.as_ref());
        if caller_state.resumes {
            resume_if_broken(caller_state, &mut random, &record, answer.as_ref());
        }
        caller_state.calls.lock().push(record);
        if ends {
            kept = None;
        }
    }
}

/// Resumes a stream that broke off after its first event, at any router that accepts a connection.
fn resume_if_broken(
    caller_state: &CallerState,
    random: &mut StdRng,
    begun: &CallRecord,
    answer: Option<&Answer>,
) {
    let Some(answer) = answer.filter(|answer| answer.status == 200 && !answer.whole) else {
        return;
    };
    let received = read_events(&answer.text(), &begun.id, 0);
    if begun.kind != CallKind::ResumableStream || received.last == 0 {
        return;
    }
    let id = format!("{}-again", begun.id);
    let resumed = ResumedStream { began_by: begun.id.clone(), last_event: received.last };
    for _ in 0..MAX_CONNECTS {
        let Some(mut kept) = connect(caller_state, random, id.clone()) else { continue };
        let call = DraftCall {
            id,
            kind: begun.kind,
            router: kept.router,
            key: begun.key.clone(),
            resumed: Some(resumed),
        };
        let sent = caller_state.now();
        let answer = kept.connection.exchange(&call.text());
        let text = answer.as_ref().filter(|answer| answer.status == 200).map(Answer::text);
        let rest = read_events(&text.unwrap_or_default(), &begun.id, received.last);
        let record = call.record(sent, caller_state.now(), answer.as_ref());
        caller_state.calls.lock().push(record.clone());
        caller_state.streams.lock().push(StreamRecord {
            began_by: begun.id.clone(),
            versions: received.versions.union(&rest.versions).cloned().collect(),
            resumed: record,
        });
        return;
    }
}

/// A connection reused for several requests.
struct KeptConnection {
    router: usize,
    connection: CallerConnection,
    calls: u32,
}

/// Connects to a random router that is up. A failed connection is recorded as a request without an
/// answer, so that a router which accepts no connections is detected.
fn connect(caller_state: &CallerState, random: &mut StdRng, id: String) -> Option<KeptConnection> {
    let routers = caller_state.routers.lock().clone();
    let router = random.random_range(0..routers.len());
    let address = routers[router]?;
    let sent = caller_state.now();
    if let Some(connection) = CallerConnection::open(address, ANSWER_TIMEOUT) {
        return Some(KeptConnection { router, connection, calls: 0 });
    }
    let call = DraftCall::draw(caller_state, random, id, router);
    caller_state.calls.lock().push(call.record(sent, caller_state.now(), None));
    None
}

struct DraftCall {
    id: String,
    kind: CallKind,
    router: usize,
    key: String,
    resumed: Option<ResumedStream>,
}

impl DraftCall {
    fn draw(caller_state: &CallerState, random: &mut StdRng, id: String, router: usize) -> Self {
        let keys = caller_state.keys.lock();
        let newest = keys.len() - 1;
        let old = random.random_ratio(1, OLD_KEY_EVERY);
        let key = keys[newest.saturating_sub(usize::from(old))].clone();
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        Self { id, kind, router, key, resumed: None }
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
            .maybe_resumed(self.resumed.clone())
            .build();
        request.text()
    }

    fn record(self, sent: Duration, ended: Duration, answer: Option<&Answer>) -> CallRecord {
        let result = answer.map_or(CallResult::Nothing, |answer| self.result(answer));
        CallRecord {
            id: self.id,
            kind: self.kind,
            router: self.router,
            key: self.key,
            sent,
            ended,
            result,
        }
    }

    fn result(&self, answer: &Answer) -> CallResult {
        if !answer.whole {
            return CallResult::Nothing;
        }
        match answer.status {
            200 => self.whole_answer(answer),
            _ if answer.promises_not_run() => CallResult::NotRun,
            status => CallResult::Failed(status),
        }
    }

    fn whole_answer(&self, answer: &Answer) -> CallResult {
        let is_expected = match self.kind.is_stream() {
            true => self.is_whole_stream(&answer.text()),
            false => answer.text() == plain_body(&self.id),
        };
        match is_expected && answer.is_signed() {
            true => CallResult::Served,
            false => CallResult::Wrong(format!("{:?}", answer.text())),
        }
    }

    fn is_whole_stream(&self, text: &str) -> bool {
        let began_by = self.resumed.as_ref().map_or(&self.id, |resumed| &resumed.began_by);
        let after = self.resumed.as_ref().map_or(0, |resumed| resumed.last_event);
        let received = read_events(text, began_by, after);
        // A caller that lacks only the end of the stream gets no event.
        let ends_with_event = text.is_empty() || text.ends_with("\n\n");
        received.is_sound && received.last == EVENTS && ends_with_event
    }
}
