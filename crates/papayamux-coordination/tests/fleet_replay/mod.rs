//! The decisions of one router, with engines in simulated time.
#![allow(dead_code, reason = "each test file uses a part of this")]

mod engine;

use std::fmt;
use std::time::{Duration, Instant};

pub use engine::EngineKind;
use engine::{Engine, EngineEvent, EngineWork};
use papayamux_coordination::placement::{
    place, LoadLedger, PlacementCandidate, PlacementPolicy, PlacementRequest, PlacementTuning,
    ServerLoad,
};
use papayamux_coordination::retry_delay::retry_delay;
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_coordination::server_profile::{FirstEvent, ProfileTracker, StreamEnd};
use papayamux_coordination::server_slots::{free_slots, ServerWork};
use papayamux_coordination::service_queue::{
    request_work, CallerTime, EnqueueOutcome, FlowKey, QueuedRequest, ServiceQueue,
};
use papayamux_state::ids::{ServerId, ServiceId};
use papayamux_state::prompt::{PromptChain, WarmParts};
use papayamux_state::quantities::TokenCount;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENGINES: usize = 6;
const PARTS: u64 = 24;
const PART_TOKENS: u64 = 4_000;
const OWN_TOKENS: u64 = 300;
const EVENTS: u64 = 12;
const EVENT_TOKENS: u64 = 4;
pub const OBJECTIVE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(4);
/// Interval at which the queue is checked.
const QUEUE_CHECK_INTERVAL_MS: u64 = 50;

/// The load of a replay.
#[derive(Debug, Clone, Copy)]
pub struct ReplayLoad {
    pub engines: EngineKind,
    pub policy: PlacementPolicy,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub length: Duration,
    pub seed: u64,
    /// `true` if requests wait in a queue for slots and may be refused.
    pub has_queue: bool,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    OnTime,
    Late,
    /// It was refused, this long after its last attempt was sent.
    Refused(Duration),
    /// Its deadline passed in the queue or on an engine.
    Expired,
}

/// The result of a replay.
#[derive(Debug, Default)]
pub struct ReplayResult {
    outcomes: Vec<Outcome>,
    /// Relative errors of the expected times to the first event.
    errors: Vec<f64>,
    /// Number of tokens of shared parts that engines prefilled.
    pub prefilled_tokens: f64,
}

impl ReplayResult {
    fn part(&self, is_so: impl Fn(&Outcome) -> bool) -> f64 {
        let count = self.outcomes.iter().filter(|outcome| is_so(outcome)).count();
        count as f64 / self.outcomes.len().max(1) as f64
    }

    pub fn on_time(&self) -> f64 {
        self.part(|outcome| *outcome == Outcome::OnTime)
    }

    pub fn late(&self) -> f64 {
        self.part(|outcome| *outcome == Outcome::Late)
    }

    pub fn turned_away(&self) -> f64 {
        self.part(|outcome| matches!(outcome, Outcome::Refused(_)))
    }

    pub fn expired(&self) -> f64 {
        self.part(|outcome| *outcome == Outcome::Expired)
    }

    /// Returns the time within which nine in ten refused requests were refused, in milliseconds.
    pub fn refused_within_ms(&self) -> u128 {
        let refused_after = self.outcomes.iter().filter_map(|outcome| match outcome {
            Outcome::Refused(after) => Some(after.as_millis()),
            _ => None,
        });
        let mut refused_after: Vec<_> = refused_after.collect();
        refused_after.sort_unstable();
        refused_after.get(refused_after.len() * 9 / 10).copied().unwrap_or_default()
    }

    /// Returns the median error of the `count` estimates before the `until`th answer.
    pub fn error_before(&self, until: usize, count: usize) -> f64 {
        let until = until.min(self.errors.len());
        let mut errors = self.errors[until.saturating_sub(count)..until].to_vec();
        errors.sort_unstable_by(f64::total_cmp);
        errors.get(errors.len() / 2).copied().unwrap_or(f64::NAN)
    }
}

impl fmt::Display for ReplayResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "on time {:.2}, late {:.2}, refused {:.2} (within {} ms), expired {:.2}; \
             {:.0} thousand shared tokens prefilled; estimates off by {:.2}, {:.2}, {:.2}",
            self.on_time(),
            self.late(),
            self.turned_away(),
            self.refused_within_ms(),
            self.expired(),
            self.prefilled_tokens / 1_000.0,
            self.error_before(20, 10),
            self.error_before(100, 40),
            self.error_before(500, 100),
        )
    }
}

#[derive(Debug, Clone)]
struct Request {
    part: u64,
    first_asked: Instant,
    asked: Instant,
    attempts: u32,
    placed: Option<Placed>,
    outcome: Option<Outcome>,
}

#[derive(Debug, Clone, Copy)]
struct Placed {
    engine: usize,
    sent: Instant,
    work: TokenCount,
    load: ServerLoad,
    ahead: TokenCount,
    expected: Duration,
    missing: TokenCount,
    assumed: TokenCount,
    transfer: Option<Duration>,
    first: Option<Instant>,
}

struct Replay {
    load: ReplayLoad,
    random: StdRng,
    start: Instant,
    now: Instant,
    engines: Vec<Engine>,
    ids: Vec<ServerId>,
    service: ServiceId,
    requests: Vec<Request>,
    line: ServiceQueue<usize>,
    ledger: LoadLedger,
    profiles: ProfileTracker,
    warm: Vec<WarmParts>,
    retries: Vec<(Instant, usize)>,
    result: ReplayResult,
}

/// Replays a load.
pub fn replay(load: ReplayLoad) -> ReplayResult {
    let start = Instant::now();
    let slower = |index| if index == 0 { load.engines.first_is_slower } else { 1.0 };
    let capacity = (load.engines.cached_parts as u64) * (PART_TOKENS + OWN_TOKENS);
    let mut replay = Replay {
        load,
        random: StdRng::seed_from_u64(load.seed),
        start,
        now: start,
        engines: (0..ENGINES).map(|index| Engine::new(load.engines, slower(index))).collect(),
        ids: (0..ENGINES).map(|index| format!("i-{index}").parse().unwrap()).collect(),
        service: "llm".parse().unwrap(),
        requests: Vec::new(),
        line: ServiceQueue::default(),
        ledger: LoadLedger::default(),
        profiles: ProfileTracker::default(),
        warm: (0..ENGINES).map(|_| WarmParts::new(TokenCount::new(capacity))).collect(),
        retries: Vec::new(),
        result: ReplayResult::default(),
    };
    replay.run();
    replay.result
}

impl Replay {
    fn run(&mut self) {
        let mut next = Duration::ZERO;
        let end = self.load.length + DEADLINE * 2;
        let middle = self.load.length.as_millis() as u64 / 2;
        for tick in 0..end.as_millis() as u64 {
            self.now = self.start + Duration::from_millis(tick);
            if tick == middle {
                let factor = self.load.engines.slower_from_middle;
                self.engines.iter_mut().for_each(|engine| engine.slow_down(factor));
            }
            while next <= Duration::from_millis(tick) && next < self.load.length {
                let pause = -self.random.random_range(f64::EPSILON..1.0).ln() / self.load.rate;
                next += Duration::from_secs_f64(pause);
                self.submit_first();
            }
            self.tick(tick);
        }
        self.result.prefilled_tokens =
            self.engines.iter().map(|engine| engine.prefilled_tokens).sum();
        self.result.outcomes = self
            .requests
            .iter()
            .map(|request| request.outcome.unwrap_or(Outcome::Expired))
            .collect();
    }

    fn tick(&mut self, tick: u64) {
        let now = self.now;
        let due: Vec<_> = self.retries.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().for_each(|(_, request)| self.submit(request));
        for engine in 0..ENGINES {
            for event in self.engines[engine].tick() {
                match event {
                    EngineEvent::FirstEvent(request) => self.record_first(request),
                    EngineEvent::Ended(request) => self.record_end(request, true),
                }
            }
        }
        if tick.is_multiple_of(QUEUE_CHECK_INTERVAL_MS) {
            for (request, _) in self.line.take_overdue(now) {
                self.refuse(request);
            }
            self.expire_requests();
            self.call();
        }
    }

    fn submit_first(&mut self) {
        let part = self.random.random_range(0..PARTS);
        let now = self.now;
        let request = Request {
            part,
            first_asked: now,
            asked: now,
            attempts: 0,
            placed: None,
            outcome: None,
        };
        self.requests.push(request);
        self.submit(self.requests.len() - 1);
    }

    fn work(&self) -> TokenCount {
        let speed = self.profiles.service_speed(&self.service);
        let token_work = speed.answer_token_work(self.load.engines.slots);
        let answer = TokenCount::new(EVENTS * EVENT_TOKENS);
        request_work(TokenCount::new(OWN_TOKENS), answer, token_work)
    }

    fn submit(&mut self, index: usize) {
        let now = self.now;
        let work = self.work();
        let request = &mut self.requests[index];
        request.asked = now;
        request.attempts += 1;
        let first_asked = request.first_asked;
        let left = (first_asked + DEADLINE).saturating_duration_since(now);
        if !self.load.has_queue {
            self.send(index);
            return;
        }
        let speed = self.profiles.service_speed(&self.service);
        let asked = QueuedRequest {
            flow: FlowKey { organisation: None, priority: 0 },
            work,
            time: CallerTime {
                arrived: now,
                since_first_attempt: now - first_asked,
                objective: OBJECTIVE,
                time_left: left,
                service_time: speed.time_to_first_event(TokenCount::new(OWN_TOKENS)),
            },
        };
        let total_free_slots = self.total_free_slots();
        match self.line.enqueue(asked, index, total_free_slots) {
            EnqueueOutcome::Admitted => self.send(index),
            EnqueueOutcome::Queued(_) => {}
            EnqueueOutcome::Refused(_) => self.refuse(index),
        }
    }

    fn prefill_rate(&self, engine: usize) -> f64 {
        self.profiles.speed(&self.service, &self.ids[engine]).prefill_tokens_per_ms
    }

    fn total_free_slots(&self) -> u32 {
        let total_free_slots = (0..ENGINES).map(|engine| {
            let speed = self.profiles.speed(&self.service, &self.ids[engine]);
            let load = self.ledger.total(&self.ids[engine], self.now, self.prefill_rate(engine));
            let waiting = self.engines[engine].waiting();
            free_slots(ServerWork::Engine, self.load.engines.slots, load, waiting, &speed)
        });
        total_free_slots.sum()
    }

    fn call(&mut self) {
        if self.line.is_empty() {
            return;
        }
        let total_free_slots = self.total_free_slots();
        for request in self.line.dispatch(total_free_slots, total_free_slots) {
            self.send(request);
            self.line.release_reservation();
        }
    }

    fn refuse(&mut self, index: usize) {
        let sample = self.random.random_range(0.0..1.0);
        let now = self.now;
        let request = &mut self.requests[index];
        let left = (request.first_asked + DEADLINE).saturating_duration_since(now);
        if request.attempts > 1 {
            request.outcome = Some(Outcome::Refused(now - request.asked));
            return;
        }
        self.retries.push((now + retry_delay(left, sample), index));
    }

    fn chain(&self, index: usize) -> PromptChain {
        let part = self.requests[index].part + 1;
        let own = 0x1000 + index;
        format!("{part:x}:{PART_TOKENS},{own:x}:{OWN_TOKENS}").parse().unwrap()
    }

    fn send(&mut self, index: usize) {
        let chain = self.chain(index);
        let part = self.requests[index].part;
        let candidates: Vec<_> = (0..ENGINES).map(|at| self.candidate(at, part, &chain)).collect();
        let asked = PlacementRequest {
            prompt: chain.tokens(),
            answer: TokenCount::new(EVENTS * EVENT_TOKENS),
            shared: chain.shared_tokens(),
            nobody_holds: false,
            sample: self.random.random_range(0.0..1.0),
            transfer_tokens_per_ms: Some(self.load.engines.transfer_tokens_per_ms),
        };
        let tuning = PlacementTuning { policy: self.load.policy, ..PlacementTuning::default() };
        let placement = place(asked, &candidates, tuning).unwrap();
        let engine = placement.server;
        let speed = candidates[engine].speed;
        let request = &self.requests[index];
        let left = (request.first_asked + DEADLINE).saturating_duration_since(self.now);
        let backlog = candidates[engine].load.backlog;
        let missing = speed.expected_misses(placement.assumed);
        let cold = placement.cold + missing;
        let answer = TokenCount::new(EVENTS * EVENT_TOKENS);
        let requests = candidates[engine].load.requests;
        let slot_wait = speed.slot_wait(self.load.engines.slots, requests, answer);
        let first = slot_wait + speed.time_to_first_event(cold + TokenCount::new(backlog));
        if self.load.has_queue && backlog > 0 && first > left {
            self.refuse(index);
            return;
        }
        let load = ServerLoad { requests: 1, backlog: cold.get() };
        let copied = asked.prompt.saturating_sub(placement.held).saturating_sub(placement.cold);
        let rate = self.load.engines.transfer_tokens_per_ms;
        let transfer = placement.fetch_from.map(|_| millis(copied.get() as f64 / rate));
        let copying = transfer.map_or(Duration::ZERO, |transfer| transfer + speed.copy_time());
        self.ledger.begin(&self.ids[engine], load);
        let ahead = TokenCount::new(
            self.ledger.total(&self.ids[engine], self.now, self.prefill_rate(engine)).backlog,
        );
        self.warm[engine].record_use(&chain);
        let work = self.work();
        self.line.record_dispatch(work, self.now);
        let is_copied = placement.fetch_from.is_some_and(|source| self.engines[source].holds(part));
        self.engines[engine].take(EngineWork {
            request: index,
            part,
            part_tokens: PART_TOKENS as f64,
            own_tokens: OWN_TOKENS as f64,
            events: EVENTS as f64,
            is_copied,
        });
        self.requests[index].placed = Some(Placed {
            engine,
            sent: self.now,
            work,
            load,
            ahead,
            expected: speed.time_to_first_event(ahead) + copying + slot_wait,
            missing,
            assumed: placement.assumed,
            transfer,
            first: None,
        });
    }

    fn candidate(&self, engine: usize, part: u64, chain: &PromptChain) -> PlacementCandidate {
        PlacementCandidate {
            accepts: true,
            serves: true,
            load: self.ledger.total(&self.ids[engine], self.now, self.prefill_rate(engine)),
            waiting: self.engines[engine].waiting(),
            slots: self.load.engines.slots,
            warm: self.warm[engine].warm_tokens(chain),
            nearly_full: self.warm[engine].is_nearly_full(),
            rank: ((part + engine as u64) % ENGINES as u64) as u32,
            excess_failure_rate: 0.0,
            excess_delay_rate: 0.0,
            speed: self.profiles.speed(&self.service, &self.ids[engine]),
            standing: ServerStanding::Good,
            round_trip_ms: 1.0,
        }
    }

    fn record_first(&mut self, index: usize) {
        let now = self.now;
        let Some(placed) = &mut self.requests[index].placed else { return };
        placed.first = Some(now);
        let took = now - placed.sent;
        let real = took.as_secs_f64().max(0.001);
        self.result.errors.push((placed.expected.as_secs_f64() / real - 1.0).abs());
        let id = &self.ids[placed.engine];
        self.ledger.end(id, ServerLoad { requests: 0, backlog: placed.load.backlog });
        placed.load.backlog = 0;
        if self.engines[placed.engine].waiting() == 0 {
            let first = FirstEvent {
                tokens: placed.ahead.saturating_sub(placed.missing),
                took,
                transfer: placed.transfer,
                assumed: placed.assumed,
            };
            self.profiles.record_first(&self.service, id, first);
        }
    }

    fn record_end(&mut self, index: usize, is_whole: bool) {
        let Some(placed) = self.requests[index].placed.take() else { return };
        let id = &self.ids[placed.engine];
        self.ledger.end(id, placed.load);
        self.line.record_completion(placed.work, self.now - placed.sent, self.now);
        if let Some(first) = placed.first {
            let duration = self.now - first;
            let answer = TokenCount::new(EVENTS * EVENT_TOKENS);
            let events =
                if is_whole { EVENTS + 1 } else { 1 + self.engines[placed.engine].events(index) };
            let end = StreamEnd { events, duration, expected: is_whole.then_some(answer) };
            self.profiles.record_stream(&self.service, id, end);
        }
        let request = &mut self.requests[index];
        request.outcome = Some(match (is_whole, placed.first) {
            (true, Some(first)) if first - request.first_asked <= OBJECTIVE => Outcome::OnTime,
            (true, _) => Outcome::Late,
            (false, _) => Outcome::Expired,
        });
        self.call();
    }

    /// Ends the requests whose callers have disconnected.
    fn expire_requests(&mut self) {
        let now = self.now;
        let over: Vec<_> = (0..self.requests.len())
            .filter(|index| {
                let request = &self.requests[*index];
                request.outcome.is_none() && now >= request.first_asked + DEADLINE
            })
            .collect();
        for index in over {
            if let Some(engine) = self.requests[index].placed.map(|placed| placed.engine) {
                self.record_end(index, false);
                self.engines[engine].stop(index);
            }
            self.line.remove(&index);
            self.requests[index].outcome.get_or_insert(Outcome::Expired);
        }
    }
}

fn millis(span: f64) -> Duration {
    Duration::from_secs_f64(span / 1_000.0)
}

/// Returns the kinds of engines by name: the usual one, and others that differ from it in one
/// property.
pub fn engine_kinds() -> Vec<(&'static str, EngineKind)> {
    let usual = EngineKind::USUAL;
    vec![
        ("usual", usual),
        (
            "eight times slower",
            EngineKind {
                prefill_tokens_per_ms: usual.prefill_tokens_per_ms / 8.0,
                event_gap_ms: usual.event_gap_ms * 8.0,
                ..usual
            },
        ),
        (
            "prefill eight times slower",
            EngineKind { prefill_tokens_per_ms: usual.prefill_tokens_per_ms / 8.0, ..usual },
        ),
        (
            "eight times faster",
            EngineKind {
                prefill_tokens_per_ms: usual.prefill_tokens_per_ms * 8.0,
                event_gap_ms: usual.event_gap_ms / 8.0,
                ..usual
            },
        ),
        ("4 slots", EngineKind { slots: 4, ..usual }),
        ("128 slots", EngineKind { slots: 128, ..usual }),
        ("a quarter of the parts cached", EngineKind { cached_parts: PARTS as usize / 4, ..usual }),
        ("all parts cached", EngineKind { cached_parts: PARTS as usize, ..usual }),
        (
            "links 30 times thinner",
            EngineKind { transfer_tokens_per_ms: usual.transfer_tokens_per_ms / 30.0, ..usual },
        ),
        ("one at a third", EngineKind { first_is_slower: 3.0, ..usual }),
        ("four times slower from the middle on", EngineKind { slower_from_middle: 4.0, ..usual }),
    ]
}
