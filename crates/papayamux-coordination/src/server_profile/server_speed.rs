//! What decisions read of a server's profile.

use std::time::Duration;

use papayamux_state::quantities::TokenCount;

/// Part of the time between two events that one more request at an engine adds to the wait of the next:
/// its part of each step, and the chance that its own prompt comes first. An event takes a few steps; a
/// batch of a dozen takes a tenth longer for one more. The time is that of an engine with little to do:
/// by the time under load, which grows with the requests that it is to weigh, prompts would leave their
/// caches under high load.
const CONCURRENCY_DELAY_FRACTION: f64 = 0.09;
/// The same for one that waits at the engine for a slot or for memory: until another one ends.
const QUEUE_DELAY_FRACTION: f64 = 0.45;
/// How long an engine may have prompts to read before it counts as full. With the wait in the line that
/// stays below the objectives of interactive requests; less leaves an engine idle between two requests
/// of routers that are some milliseconds away.
const MAX_BACKLOG_MS: f64 = 200.0;
/// Events that a sound engine may be late by. A step that reads a full chunk of another prompt takes
/// several times as long as one that does not, and an event has a few steps.
const MAX_LATE_EVENTS: f64 = 20.0;
/// The same before nothing more is sent to it, which costs more than to leave one request.
const MAX_LATE_EVENTS_OF_ENGINE: f64 = 27.0;
/// How many times as long as expected a first event may take: the expectation knows of no queue.
const MAX_FIRST_EVENT_FACTOR: f64 = 4.0;
/// Deviations that a plain call may take longer than the mean: a few in a thousand take as long.
pub(super) const CALL_DEVIATIONS: f64 = 8.0;

/// The shortest silence after which an answer under way is given up. A lost packet is sent again after
/// 200 ms, and again after 400 ms; both ends may pause for some tens of milliseconds. This can't be
/// learnt from servers: it is the operating system's.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(450);
/// The same before a first event, which follows a new connection and a request.
const MIN_FIRST_EVENT_SILENCE: Duration = Duration::from_millis(700);
/// The same before nothing more is sent to an engine.
const MIN_ENGINE_SILENCE: Duration = Duration::from_millis(600);
/// The same for a plain call: one lost packet, and a pause of the other end.
const MIN_CALL_SILENCE: Duration = Duration::from_millis(250);

/// How fast a server is, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSpeed {
    /// Prompt tokens that an engine reads in a millisecond, beside what else it does.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds until an engine's first event beyond the reading of prompts.
    pub first_event_ms: f64,
    /// Milliseconds that an engine takes to begin a copy from another one.
    pub copy_ms: f64,
    /// Milliseconds between two events of a stream.
    pub event_gap_ms: f64,
    /// The same while the engine has little to do.
    pub idle_gap_ms: f64,
    /// Tokens of one event.
    pub event_tokens: f64,
    /// Part of the tokens that engines are only believed to hold that they do hold.
    pub assumed_hit_rate: f64,
    /// Milliseconds that a plain call takes.
    pub call_ms: f64,
    /// Longer than plain calls take.
    pub max_call_time: Duration,
}

impl ServerSpeed {
    /// What one more request at an engine adds to the wait of the next, in milliseconds.
    pub fn concurrency_delay_ms(&self) -> f64 {
        self.idle_gap_ms * CONCURRENCY_DELAY_FRACTION
    }

    /// What one more request that waits at an engine adds to the wait of the next, in milliseconds.
    pub fn queue_delay_ms(&self) -> f64 {
        self.idle_gap_ms * QUEUE_DELAY_FRACTION
    }

    /// Prompt tokens that may wait at an engine before it counts as full.
    pub fn max_backlog(&self) -> u64 {
        (self.prefill_tokens_per_ms * MAX_BACKLOG_MS) as u64
    }

    /// How long until a first event where so many tokens are to be read before it.
    pub fn time_to_first_event(&self, tokens: TokenCount) -> Duration {
        self.prefill_time(tokens) + millis(self.first_event_ms)
    }

    /// How long a plain call takes.
    pub fn call_time(&self) -> Duration {
        millis(self.call_ms)
    }

    /// Tokens that are likely to be read of those that a server is only believed to hold.
    pub fn missing(&self, assumed: TokenCount) -> TokenCount {
        TokenCount::new((assumed.get() as f64 * (1.0 - self.assumed_hit_rate)) as u64)
    }

    /// How long it takes to begin a copy from another engine.
    pub fn copy_time(&self) -> Duration {
        millis(self.copy_ms)
    }

    /// How long so many tokens take to read.
    pub fn prefill_time(&self, tokens: TokenCount) -> Duration {
        millis(tokens.get() as f64 / self.prefill_tokens_per_ms)
    }

    /// Events that an answer of so many tokens has.
    pub fn events(&self, answer: TokenCount) -> f64 {
        answer.get() as f64 / self.event_tokens
    }

    /// How long an answer of so many tokens takes from its first event to its last.
    pub fn generation_time(&self, answer: TokenCount) -> Duration {
        millis(self.events(answer) * self.event_gap_ms)
    }

    /// How long until an engine with so many slots has one free for a request, where so many are there
    /// already: each keeps its slot for about as long as this one's answer takes. Without it prompts would stay
    /// at full homes.
    pub fn slot_wait(&self, slots: u32, requests: u32, answer: TokenCount) -> Duration {
        let before = (requests + 1).saturating_sub(slots);
        if slots == 0 || before == 0 {
            return Duration::ZERO;
        }
        let kept = self.generation_time(answer) + millis(self.first_event_ms);
        kept.mul_f64(f64::from(before) / f64::from(slots))
    }

    /// What a token of an answer costs an engine with so many slots, in prompt tokens read.
    pub fn answer_token_work(&self, slots: u32) -> f64 {
        let token_ms = self.event_gap_ms / self.event_tokens;
        token_ms / f64::from(slots.max(1)) * self.prefill_tokens_per_ms
    }

    /// A silence of an engine in a stream that is no pause.
    pub fn stream_silence(&self) -> Duration {
        millis(self.event_gap_ms * MAX_LATE_EVENTS).max(MIN_STREAM_SILENCE)
    }

    /// A silence of an engine with requests under way after which nothing more is sent to it.
    pub fn engine_silence(&self) -> Duration {
        millis(self.event_gap_ms * MAX_LATE_EVENTS_OF_ENGINE).max(MIN_ENGINE_SILENCE)
    }

    /// A silence before a stream's first event, for which so many tokens are to be read.
    pub fn first_event_silence(&self, tokens: TokenCount) -> Duration {
        self.time_to_first_event(tokens)
            .mul_f64(MAX_FIRST_EVENT_FACTOR)
            .max(MIN_FIRST_EVENT_SILENCE)
    }

    /// A silence of a plain service that is no slow call.
    pub fn call_silence(&self) -> Duration {
        self.max_call_time.max(MIN_CALL_SILENCE)
    }
}

fn millis(span: f64) -> Duration {
    Duration::try_from_secs_f64(span / 1_000.0).unwrap_or(Duration::MAX)
}
