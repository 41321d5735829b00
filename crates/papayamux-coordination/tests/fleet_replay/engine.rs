//! An engine in simulated time, which prefills prompts one after the other and generates
//! concurrently.

use std::collections::VecDeque;

/// Properties of the engines of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct EngineKind {
    pub slots: u32,
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds between two events while no prompt is prefilled.
    pub event_gap_ms: f64,
    /// Number of shared parts that fit into the cache.
    pub cached_parts: usize,
    pub transfer_tokens_per_ms: f64,
    /// Slowdown factor of the first engine.
    pub first_is_slower: f64,
    /// Slowdown factor of all engines from the middle of the run on.
    pub slower_from_middle: f64,
}

impl EngineKind {
    pub const USUAL: Self = Self {
        slots: 16,
        prefill_tokens_per_ms: 40.0,
        event_gap_ms: 20.0,
        cached_parts: 12,
        transfer_tokens_per_ms: 500.0,
        first_is_slower: 1.0,
        slower_from_middle: 1.0,
    };
}

/// Fraction of its speed at which an engine generates during a prefill: a step that prefills a
/// chunk takes several times as long.
const SPEED_DURING_PREFILL: f64 = 0.3;
/// Time to the first event beyond the prefill.
const FIRST_EVENT_MS: f64 = 15.0;
/// Time to begin a copy.
const COPY_MS: f64 = 3.0;

/// A request on an engine.
#[derive(Debug, Clone)]
pub struct EngineWork {
    pub request: usize,
    pub part: u64,
    /// Tokens of the shared part, which are prefilled unless they are cached or copied.
    pub part_tokens: f64,
    pub own_tokens: f64,
    pub events: f64,
    /// `true` if the engine from which the part should be copied holds it.
    pub is_copied: bool,
}

#[derive(Debug)]
struct Running {
    work: EngineWork,
    /// Remaining prefill time in milliseconds.
    prefill_ms: f64,
    /// Remaining time from the prefill to the first event, in milliseconds.
    first_ms: f64,
    events_left: f64,
    has_begun: bool,
}

/// An event on an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EngineEvent {
    FirstEvent(usize),
    Ended(usize),
}

#[derive(Debug)]
pub struct Engine {
    kind: EngineKind,
    slower: f64,
    running: Vec<Running>,
    waiting: VecDeque<EngineWork>,
    cache: VecDeque<u64>,
    /// Number of tokens of shared parts that were prefilled.
    pub prefilled_tokens: f64,
}

impl Engine {
    pub fn new(kind: EngineKind, slower: f64) -> Self {
        Self {
            kind,
            slower,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            prefilled_tokens: 0.0,
        }
    }

    pub fn slow_down(&mut self, factor: f64) {
        self.slower *= factor;
    }

    pub fn holds(&self, part: u64) -> bool {
        self.cache.contains(&part)
    }

    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the number of events of a request's answer so far.
    pub fn events(&self, request: usize) -> u64 {
        let running = self.running.iter().find(|running| running.work.request == request);
        running.map_or(0, |running| (running.work.events - running.events_left) as u64)
    }

    pub fn take(&mut self, work: EngineWork) {
        self.waiting.push_back(work);
        self.fill_slots();
    }

    /// Stops a request whose caller has disconnected.
    pub fn stop(&mut self, request: usize) {
        self.running.retain(|running| running.work.request != request);
        self.waiting.retain(|work| work.request != request);
        self.fill_slots();
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.kind.slots as usize {
            let Some(work) = self.waiting.pop_front() else { return };
            let own_prefill_ms = work.own_tokens / self.kind.prefill_tokens_per_ms;
            self.running.push(Running {
                prefill_ms: own_prefill_ms * self.slower,
                first_ms: FIRST_EVENT_MS * self.slower,
                events_left: work.events,
                has_begun: false,
                work,
            });
        }
    }

    /// Advances the time by a millisecond.
    pub fn tick(&mut self) -> Vec<EngineEvent> {
        let mut happened = Vec::new();
        let next = self.running.iter().position(|running| running.prefill_ms > 0.0);
        if let Some(next) = next {
            self.advance_prefill(next);
        }
        let speed = if next.is_some() { SPEED_DURING_PREFILL } else { 1.0 };
        for running in &mut self.running {
            if running.prefill_ms > 0.0 {
                continue;
            }
            if !running.has_begun {
                running.first_ms -= 1.0;
                if running.first_ms <= 0.0 {
                    running.has_begun = true;
                    happened.push(EngineEvent::FirstEvent(running.work.request));
                }
                continue;
            }
            running.events_left -= speed / (self.kind.event_gap_ms * self.slower);
            if running.events_left <= 0.0 {
                happened.push(EngineEvent::Ended(running.work.request));
            }
        }
        self.running.retain(|running| !running.has_begun || running.events_left > 0.0);
        self.fill_slots();
        happened
    }

    fn advance_prefill(&mut self, next: usize) {
        let running = &mut self.running[next];
        let work = &mut running.work;
        if work.part_tokens > 0.0 {
            // Only at the start of its prefill does it show whether the part is cached.
            let known = self.cache.contains(&work.part);
            running.prefill_ms += match (known, work.is_copied) {
                (true, _) => 0.0,
                (false, true) => COPY_MS + work.part_tokens / self.kind.transfer_tokens_per_ms,
                (false, false) => {
                    self.prefilled_tokens += work.part_tokens;
                    work.part_tokens / self.kind.prefill_tokens_per_ms * self.slower
                }
            };
            work.part_tokens = 0.0;
            self.cache.retain(|part| *part != work.part);
            self.cache.push_back(work.part);
            if self.cache.len() > self.kind.cached_parts {
                self.cache.pop_front();
            }
        }
        running.prefill_ms -= 1.0;
    }
}
