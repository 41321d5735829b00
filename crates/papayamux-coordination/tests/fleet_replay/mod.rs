//! One router's decisions before engines in simulated time.
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
use papayamux_coordination::return_time::return_time;
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_coordination::server_places::{free_places, ServerWork};
use papayamux_coordination::server_profile::{FirstEvent, ProfileBook, StreamEnd};
use papayamux_coordination::service_line::{
    request_work, CallerTime, FlowKey, LineArrival, LineRequest, ServiceLine,
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
/// How often the line is looked through.
const WATCH_EVERY_MS: u64 = 50;

/// The load of a replay.
#[derive(Debug, Clone, Copy)]
pub struct ReplayLoad {
    pub engines: EngineKind,
    pub policy: PlacementPolicy,
    /// Requests a second, and for how long they come.
    pub rate: f64,
    pub length: Duration,
    pub seed: u64,
    /// Whether requests wait for places and may be turned away.
    pub has_line: bool,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    OnTime,
    Late,
    /// Told that it did not run, so long after it was asked for the last time.
    TurnedAway(Duration),
    /// Its deadline passed in the line or at an engine.
    Died,
}

/// What came out.
#[derive(Debug, Default)]
pub struct ReplayResult {
    outcomes: Vec<Outcome>,
    /// How far each expected time to a first event was off, as a part of the real one.
    errors: Vec<f64>,
    /// Tokens of shared parts that engines read.
    pub read: f64,
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
        self.part(|outcome| matches!(outcome, Outcome::TurnedAway(_)))
    }

    pub fn died(&self) -> f64 {
        self.part(|outcome| *outcome == Outcome::Died)
    }

    /// The time within which nine in ten of those that were turned away were told so, in ms.
    pub fn told_within_ms(&self) -> u128 {
        let told = self.outcomes.iter().filter_map(|outcome| match outcome {
            Outcome::TurnedAway(after) => Some(after.as_millis()),
            _ => None,
        });
        let mut told: Vec<_> = told.collect();
        told.sort_unstable();
        told.get(told.len() * 9 / 10).copied().unwrap_or_default()
    }

    /// The median error of the `count` estimates before the `until`th answer.
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
            "on time {:.2}, late {:.2}, turned away {:.2} (told within {} ms), died {:.2}; \
             {:.0} thousand shared tokens read; estimates off by {:.2}, {:.2}, {:.2}",
            self.on_time(),
            self.late(),
            self.turned_away(),
            self.told_within_ms(),
            self.died(),
            self.read / 1_000.0,
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
    tries: u32,
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
    guessed: TokenCount,
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
    line: ServiceLine<usize>,
    ledger: LoadLedger,
    profiles: ProfileBook,
    warm: Vec<WarmParts>,
    returning: Vec<(Instant, usize)>,
    result: ReplayResult,
}

/// Plays a load.
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
        line: ServiceLine::default(),
        ledger: LoadLedger::default(),
        profiles: ProfileBook::default(),
        warm: (0..ENGINES).map(|_| WarmParts::new(TokenCount::new(capacity))).collect(),
        returning: Vec::new(),
        result: ReplayResult::default(),
    };
    replay.play();
    replay.result
}

impl Replay {
    fn play(&mut self) {
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
                self.ask_first();
            }
            self.tick(tick);
        }
        self.result.read = self.engines.iter().map(|engine| engine.read).sum();
        self.result.outcomes =
            self.requests.iter().map(|request| request.outcome.unwrap_or(Outcome::Died)).collect();
    }

    fn tick(&mut self, tick: u64) {
        let now = self.now;
        let due: Vec<_> = self.returning.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().for_each(|(_, request)| self.ask(request));
        for engine in 0..ENGINES {
            for event in self.engines[engine].tick() {
                match event {
                    EngineEvent::FirstEvent(request) => self.note_first(request),
                    EngineEvent::Ended(request) => self.note_end(request, true),
                }
            }
        }
        if tick.is_multiple_of(WATCH_EVERY_MS) {
            for (request, _) in self.line.take_overdue(now) {
                self.turn_away(request);
            }
            self.give_up();
            self.call();
        }
    }

    fn ask_first(&mut self) {
        let part = self.random.random_range(0..PARTS);
        let now = self.now;
        let request =
            Request { part, first_asked: now, asked: now, tries: 0, placed: None, outcome: None };
        self.requests.push(request);
        self.ask(self.requests.len() - 1);
    }

    fn work(&self) -> TokenCount {
        let speed = self.profiles.service_speed(&self.service);
        let token_work = speed.answer_token_work(self.load.engines.slots);
        let answer = TokenCount::new(EVENTS * EVENT_TOKENS);
        request_work(TokenCount::new(OWN_TOKENS), answer, token_work)
    }

    fn ask(&mut self, index: usize) {
        let now = self.now;
        let work = self.work();
        let request = &mut self.requests[index];
        request.asked = now;
        request.tries += 1;
        let first_asked = request.first_asked;
        let left = (first_asked + DEADLINE).saturating_duration_since(now);
        if !self.load.has_line {
            self.send(index);
            return;
        }
        let speed = self.profiles.service_speed(&self.service);
        let asked = LineRequest {
            flow: FlowKey { organisation: None, priority: 0 },
            work,
            time: CallerTime {
                arrived: now,
                asked_before: now - first_asked,
                objective: OBJECTIVE,
                left,
                serving: speed.time_to_first(TokenCount::new(OWN_TOKENS)),
            },
        };
        let places = self.places();
        match self.line.arrive(asked, index, places) {
            LineArrival::Goes => self.send(index),
            LineArrival::Waits(_) => {}
            LineArrival::TurnedAway(_) => self.turn_away(index),
        }
    }

    fn read_speed(&self, engine: usize) -> f64 {
        self.profiles.speed(&self.service, &self.ids[engine]).read_tokens_per_ms
    }

    fn places(&self) -> u32 {
        let places = (0..ENGINES).map(|engine| {
            let speed = self.profiles.speed(&self.service, &self.ids[engine]);
            let load = self.ledger.total(&self.ids[engine], self.now, self.read_speed(engine));
            let waiting = self.engines[engine].waiting();
            free_places(ServerWork::Engine, self.load.engines.slots, load, waiting, &speed)
        });
        places.sum()
    }

    fn call(&mut self) {
        if self.line.is_empty() {
            return;
        }
        let places = self.places();
        for request in self.line.call(places, places) {
            self.send(request);
            self.line.note_taken();
        }
    }

    fn turn_away(&mut self, index: usize) {
        let draw = self.random.random_range(0.0..1.0);
        let now = self.now;
        let request = &mut self.requests[index];
        let left = (request.first_asked + DEADLINE).saturating_duration_since(now);
        if request.tries > 1 {
            request.outcome = Some(Outcome::TurnedAway(now - request.asked));
            return;
        }
        self.returning.push((now + return_time(left, draw), index));
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
            draw: self.random.random_range(0.0..1.0),
            transfer_tokens_per_ms: Some(self.load.engines.transfer_tokens_per_ms),
        };
        let tuning = PlacementTuning { policy: self.load.policy, ..PlacementTuning::default() };
        let placement = place(asked, &candidates, tuning).unwrap();
        let engine = placement.server;
        let speed = candidates[engine].speed;
        let request = &self.requests[index];
        let left = (request.first_asked + DEADLINE).saturating_duration_since(self.now);
        let backlog = candidates[engine].load.backlog;
        let missing = speed.missing(placement.guessed);
        let cold = placement.cold + missing;
        let answer = TokenCount::new(EVENTS * EVENT_TOKENS);
        let requests = candidates[engine].load.requests;
        let slot_wait = speed.slot_wait(self.load.engines.slots, requests, answer);
        let first = slot_wait + speed.time_to_first(cold + TokenCount::new(backlog));
        if self.load.has_line && backlog > 0 && first > left {
            self.turn_away(index);
            return;
        }
        let load = ServerLoad { requests: 1, backlog: cold.get() };
        let copied = asked.prompt.saturating_sub(placement.held).saturating_sub(placement.cold);
        let rate = self.load.engines.transfer_tokens_per_ms;
        let transfer = placement.fetch_from.map(|_| millis(copied.get() as f64 / rate));
        let copying = transfer.map_or(Duration::ZERO, |transfer| transfer + speed.copy_time());
        self.ledger.begin(&self.ids[engine], load);
        let ahead = TokenCount::new(
            self.ledger.total(&self.ids[engine], self.now, self.read_speed(engine)).backlog,
        );
        self.warm[engine].record_use(&chain);
        let work = self.work();
        self.line.note_begin(work, self.now);
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
            expected: speed.time_to_first(ahead) + copying + slot_wait,
            missing,
            guessed: placement.guessed,
            transfer,
            first: None,
        });
    }

    fn candidate(&self, engine: usize, part: u64, chain: &PromptChain) -> PlacementCandidate {
        PlacementCandidate {
            accepts: true,
            serves: true,
            load: self.ledger.total(&self.ids[engine], self.now, self.read_speed(engine)),
            waiting: self.engines[engine].waiting(),
            slots: self.load.engines.slots,
            warm: self.warm[engine].warm_tokens(chain),
            nearly_full: self.warm[engine].is_nearly_full(),
            rank: ((part + engine as u64) % ENGINES as u64) as u32,
            failing: 0.0,
            held_up: 0.0,
            speed: self.profiles.speed(&self.service, &self.ids[engine]),
            standing: ServerStanding::Good,
            round_trip_ms: 1.0,
        }
    }

    fn note_first(&mut self, index: usize) {
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
                guessed: placed.guessed,
            };
            self.profiles.note_first(&self.service, id, first);
        }
    }

    fn note_end(&mut self, index: usize, is_whole: bool) {
        let Some(placed) = self.requests[index].placed.take() else { return };
        let id = &self.ids[placed.engine];
        self.ledger.end(id, placed.load);
        self.line.note_end(placed.work, self.now - placed.sent, self.now);
        if let Some(first) = placed.first {
            let lasted = self.now - first;
            let answer = TokenCount::new(EVENTS * EVENT_TOKENS);
            let events =
                if is_whole { EVENTS + 1 } else { 1 + self.engines[placed.engine].events(index) };
            let end = StreamEnd { events, lasted, expected: is_whole.then_some(answer) };
            self.profiles.note_stream(&self.service, id, end);
        }
        let request = &mut self.requests[index];
        request.outcome = Some(match (is_whole, placed.first) {
            (true, Some(first)) if first - request.first_asked <= OBJECTIVE => Outcome::OnTime,
            (true, _) => Outcome::Late,
            (false, _) => Outcome::Died,
        });
        self.call();
    }

    /// Ends the requests whose callers have left.
    fn give_up(&mut self) {
        let now = self.now;
        let over: Vec<_> = (0..self.requests.len())
            .filter(|index| {
                let request = &self.requests[*index];
                request.outcome.is_none() && now >= request.first_asked + DEADLINE
            })
            .collect();
        for index in over {
            if let Some(engine) = self.requests[index].placed.map(|placed| placed.engine) {
                self.note_end(index, false);
                self.engines[engine].stop(index);
            }
            self.line.leave(&index);
            self.requests[index].outcome.get_or_insert(Outcome::Died);
        }
    }
}

fn millis(span: f64) -> Duration {
    Duration::from_secs_f64(span / 1_000.0)
}

/// Engines by name: the usual ones, and others that differ in one trait.
pub fn engine_kinds() -> Vec<(&'static str, EngineKind)> {
    let usual = EngineKind::USUAL;
    vec![
        ("usual", usual),
        (
            "eight times slower",
            EngineKind {
                read_tokens_per_ms: usual.read_tokens_per_ms / 8.0,
                event_gap_ms: usual.event_gap_ms * 8.0,
                ..usual
            },
        ),
        (
            "reading eight times slower",
            EngineKind { read_tokens_per_ms: usual.read_tokens_per_ms / 8.0, ..usual },
        ),
        (
            "eight times faster",
            EngineKind {
                read_tokens_per_ms: usual.read_tokens_per_ms * 8.0,
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
