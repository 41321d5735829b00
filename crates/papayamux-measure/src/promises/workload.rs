//! The callers: chats and bookings sampled from the seed, on a thread of their own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use papayamux_protocol::chat::ChatMessage;
use papayamux_protocol::engine::render_prompt;
use papayamux_protocol::headers::IDEMPOTENCY_KEY;
use papayamux_standins::engine::expected_answer;
use papayamux_standins::run_tag::TAG_HEADER;
use papayamux_standins::service::ServiceAnswer;
use papayamux_testbed::{
    chat_request, Caller, CallerAnswer, CallerError, CallerOutcome, FLEET_MODEL, FLEET_PATH,
};
use papayamux_transport::runtime;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::answer_check::{check_booking, check_chat};
use super::fault_stage::SharedState;
use super::request_record::{learned_of, AnswerFlaws, LearnedOutcome, RequestRecord, RequestWork};

/// Number of concurrent callers.
const CALLERS: usize = 24;
/// Time that a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two requests of a caller, in milliseconds.
const THINK_MS: std::ops::Range<u64> = 0..60;
/// Maximum number of times that a caller resumes one answer at another router.
const MAX_RESUMES: u32 = 3;
/// Number of tokens of an answer.
const ANSWER_TOKENS: std::ops::Range<u32> = 5..80;
/// Percentage of requests that are chats.
const CHATS_IN_100: u32 = 55;
/// Percentage of bookings with an idempotency key.
const KEYED_IN_100: u32 = 75;
/// Percentage of bookings with a key that are sent twice at the same time.
const CONCURRENT_DUPLICATES_IN_100: u32 = 25;
/// Percentage of answered bookings with a key that are retried nevertheless.
const REPEATED_IN_100: u32 = 50;

/// Parameters of the workload.
#[derive(Debug, Clone)]
pub struct WorkloadPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of requests, including retries, after which the callers stop.
    pub requests: usize,
    /// Addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// State shared with the injectors.
    pub shared: Arc<SharedState>,
}

/// All callers of one run.
struct ClientPool {
    plan: WorkloadPlan,
    drawn: Cell<u64>,
    records: RefCell<Vec<RequestRecord>>,
}

/// One booking, which may be sent several times.
struct BookingOrder {
    tag: String,
    key: Option<String>,
    path: String,
    body: String,
}

/// Runs the callers until all have finished.
pub fn run_workload(plan: WorkloadPlan) -> std::io::Result<Vec<RequestRecord>> {
    let shared = plan.shared.clone();
    let records = runtime::run(async {
        let pool =
            Rc::new(ClientPool { plan, drawn: Cell::default(), records: RefCell::default() });
        let callers = (0..CALLERS).map(|_| monoio::spawn(pool.clone().send_until_enough()));
        futures_util::future::join_all(callers.collect::<Vec<_>>()).await;
        pool.records.take()
    });
    shared.finished.store(true, Ordering::Relaxed);
    records
}

impl ClientPool {
    async fn send_until_enough(self: Rc<Self>) {
        while self.records.borrow().len() < self.plan.requests {
            let number = self.drawn.replace(self.drawn.get() + 1);
            let seed = self.plan.seed ^ (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mut random = StdRng::seed_from_u64(seed);
            match random.random_range(0..100) < CHATS_IN_100 {
                true => self.send_chat(number, &mut random).await,
                false => self.send_bookings(number, &mut random).await,
            }
            let think = random.random_range(THINK_MS);
            monoio::time::sleep(Duration::from_millis(think)).await;
        }
    }

    async fn send_chat(&self, number: u64, random: &mut StdRng) {
        let content = format!("Question {number} of seed {}, please.", self.plan.seed);
        let messages = vec![ChatMessage { role: "user".to_string(), content }];
        let tokens = random.random_range(ANSWER_TOKENS);
        let expected = expected_answer(FLEET_MODEL, &render_prompt(&messages), Some(tokens));
        let request = chat_request(FLEET_MODEL, messages, tokens);
        let tag = format!("chat-{number}");
        let router = self.pick_router(random);
        let caller = Caller::new(self.plan.routers[router], "yanchang-desk");
        let headers = [(TAG_HEADER, tag.as_str())];
        let sent = Instant::now();
        let mut outcome = self.with_timeout(caller.chat_once(&request, &headers)).await;
        let mut resumes = 0;
        while let (Some(partial), true) = (resumable(&outcome), resumes < MAX_RESUMES) {
            resumes += 1;
            let next = self.ready_from(router + resumes as usize);
            let caller = Caller::new(self.plan.routers[next], "yanchang-desk");
            let resumed = self.with_timeout(caller.resume_once(&request, partial)).await;
            if !matches!(resumed, Some(CallerOutcome::Answered(_) | CallerOutcome::Broken(_))) {
                break;
            }
            outcome = resumed;
        }
        let flaws =
            outcome.as_ref().map_or_else(AnswerFlaws::default, |o| check_chat(o, &expected));
        let server = outcome.as_ref().and_then(chat_server);
        let record = record_of(&outcome, RequestWork::Chat, router, sent);
        self.add_record(RequestRecord { tag: tag.clone(), server, flaws, resumes, ..record });
    }

    async fn send_bookings(&self, number: u64, random: &mut StdRng) {
        let keyed = random.random_range(0..100) < KEYED_IN_100;
        let key = keyed.then(|| format!("key-{}-{number}", self.plan.seed));
        let path = format!("{FLEET_PATH}/gate/{number}");
        let body = format!("{{\"booking\":{number},\"seed\":{}}}", self.plan.seed);
        let order = BookingOrder { tag: format!("booking-{number}"), key, path, body };
        let router = self.pick_router(random);
        let other = self.other_router(router);
        if keyed && random.random_range(0..100) < CONCURRENT_DUPLICATES_IN_100 {
            let first = self.send_booking(&order, router, 0);
            futures_util::future::join(first, self.send_booking(&order, other, 1)).await;
        } else {
            let learned = self.send_booking(&order, router, 0).await;
            let repeat = random.random_range(0..100) < REPEATED_IN_100;
            if keyed && (repeat || learned != LearnedOutcome::Answered) {
                self.send_booking(&order, other, 1).await;
            }
        }
    }

    async fn send_booking(
        &self,
        order: &BookingOrder,
        router: usize,
        attempt: u32,
    ) -> LearnedOutcome {
        let tag = format!("{}-{attempt}", order.tag);
        let caller = Caller::new(self.plan.routers[router], "yanchang-desk");
        let mut headers = vec![(TAG_HEADER, tag.as_str())];
        headers.extend(order.key.as_deref().map(|key| (IDEMPOTENCY_KEY, key)));
        let body = Bytes::from(order.body.clone());
        let sent = Instant::now();
        let call = caller.call_once(Method::POST, &order.path, &headers, body);
        let outcome = self.with_timeout(call).await;
        let answer = match &outcome {
            Some(CallerOutcome::Answered(body)) => Some(serde_json::from_slice(body).ok()),
            _ => None,
        };
        let flaws = answer.as_ref().map_or_else(AnswerFlaws::default, |answer| {
            check_booking(answer.as_ref(), &order.path, &order.body)
        });
        let server = answer.flatten().map(|answer: ServiceAnswer| answer.service);
        let record = record_of(&outcome, RequestWork::Booking, router, sent);
        let learned = record.learned;
        self.add_record(RequestRecord {
            tag: tag.clone(),
            key: order.key.clone(),
            server,
            flaws,
            ..record
        });
        learned
    }

    /// Awaits a call's outcome for at most [`CALL_TIMEOUT`]; returns `None` on timeout.
    async fn with_timeout<A>(
        &self,
        call: impl std::future::Future<Output = CallerOutcome<A>>,
    ) -> Option<CallerOutcome<A>> {
        self.plan.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        let outcome = monoio::time::timeout(CALL_TIMEOUT, call).await.ok();
        self.plan.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        outcome
    }

    /// Returns a random router that the load balancer sends callers to.
    fn pick_router(&self, random: &mut StdRng) -> usize {
        let drawn = random.random_range(0..self.plan.routers.len());
        self.ready_from(drawn)
    }

    fn other_router(&self, router: usize) -> usize {
        self.ready_from(router + 1)
    }

    /// Returns the first router, counting from `first`, that the load balancer sends callers to;
    /// `first` itself if there is none.
    fn ready_from(&self, first: usize) -> usize {
        let count = self.plan.routers.len();
        let first = first % count;
        let is_ready = |router: &usize| self.plan.shared.ready[*router].load(Ordering::Relaxed);
        (0..count).map(|step| (first + step) % count).find(is_ready).unwrap_or(first)
    }

    fn add_record(&self, record: RequestRecord) {
        self.records.borrow_mut().push(record);
    }
}

/// Returns the record fields common to all requests; an outcome of `None` is a caller that timed
/// out.
fn record_of<A>(
    outcome: &Option<CallerOutcome<A>>,
    work: RequestWork,
    router: usize,
    sent: Instant,
) -> RequestRecord {
    RequestRecord {
        tag: String::new(),
        key: None,
        work,
        router,
        server: None,
        sent,
        ended: Instant::now(),
        told: outcome.as_ref().and_then(|outcome| match outcome {
            CallerOutcome::Reported(failure) => Some(failure.clone()),
            _ => None,
        }),
        learned: outcome.as_ref().map_or(LearnedOutcome::Unknown, learned_of),
        flaws: AnswerFlaws::default(),
        resumes: 0,
        broke: matches!(outcome, Some(CallerOutcome::Broken(_))),
        timed_out: outcome.is_none(),
    }
}

/// Returns the partial answer if the caller may resume it at another router.
fn resumable(outcome: &Option<CallerOutcome<CallerAnswer>>) -> Option<CallerAnswer> {
    let Some(CallerOutcome::Broken(error)) = outcome else { return None };
    let is_cut = matches!(error, CallerError::Partial { .. } | CallerError::Reported { .. });
    let partial = error.partial_answer().filter(|partial| !partial.last_event.is_empty());
    partial.filter(|_| is_cut).cloned()
}

fn chat_server(outcome: &CallerOutcome<CallerAnswer>) -> Option<String> {
    match outcome {
        CallerOutcome::Answered(answer) => Some(answer.server.clone()),
        CallerOutcome::Broken(error) => error.partial_answer().map(|answer| answer.server.clone()),
        _ => None,
    }
}
