//! The estimates of a server's profile that decisions are based on.

use std::time::Duration;

use papayamux_state::durations::{saturating_millis, saturating_secs};
use papayamux_state::quantities::TokenCount;

/// Fraction of the event gap by which one more request on an engine delays the next one: its share
/// of each step, and the chance that its own prompt is prefilled first. An event takes a few steps,
/// and one more request makes a step of a batch of a dozen a tenth longer. It is applied to the gap
/// at low load. The gap under load already grows with the number of requests, and would drive
/// prompts away from their caches at high load.
const CONCURRENCY_DELAY_FRACTION: f64 = 0.09;
/// Fraction of the event gap for a request that waits at the engine for a slot or for memory until
/// another one completes.
const QUEUE_DELAY_FRACTION: f64 = 0.45;
/// Prefill time of the backlog from which an engine counts as full. Together with the wait in the
/// queue it stays below the objectives of interactive requests. A smaller backlog would leave the
/// engine idle between requests from routers some milliseconds away.
const MAX_BACKLOG_MS: f64 = 200.0;
/// Number of event gaps without an event that are tolerated in a stream. A step that prefills a
/// full chunk of another prompt takes several times as long as one that does not, and an event
/// takes a few steps.
const MAX_LATE_EVENTS: f64 = 20.0;
/// Number of event gaps without an event after which no more requests are sent to an engine. It is
/// higher because that costs more than abandoning one request.
const MAX_LATE_EVENTS_OF_ENGINE: f64 = 27.0;
/// Tolerated time to a first event as a multiple of the expected time, which does not include the
/// engine's queue.
const MAX_FIRST_EVENT_FACTOR: f64 = 4.0;
/// Number of deviations above the mean that a plain call may take; a few calls in a thousand take
/// as long.
pub(super) const CALL_DEVIATIONS: f64 = 8.0;

/// Maximum slowdown for which a server may be silent for longer. One that reports more may be stuck,
/// and its callers still need time for a retry elsewhere.
const MAX_TOLERATED_SLOWDOWN: f64 = 4.0;

/// Minimum silence after which a stream is abandoned. The operating system retransmits a lost
/// packet after 200 ms and again after 400 ms, and either end may pause for some tens of
/// milliseconds. This is a property of the operating system that answers of servers don't show.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(450);
/// Minimum silence before a first event, which includes the time for a new connection and the
/// request.
const MIN_FIRST_EVENT_SILENCE: Duration = Duration::from_millis(700);
/// Minimum silence after which no more requests are sent to an engine.
const MIN_ENGINE_SILENCE: Duration = Duration::from_millis(600);
/// Minimum silence of a plain call: one lost packet and a pause of the other end.
const MIN_CALL_SILENCE: Duration = Duration::from_millis(250);

/// Estimated speed of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSpeed {
    /// Prompt tokens that an engine prefills per millisecond alongside its other work.
    pub prefill_tokens_per_ms: f64,
    /// Time to an engine's first event beyond the prefill, in milliseconds.
    pub first_event_ms: f64,
    /// Time in which an engine begins a copy from another one, in milliseconds.
    pub copy_ms: f64,
    /// Time between two events of a stream, in milliseconds.
    pub event_gap_ms: f64,
    /// Time between two events of a stream while the engine has little load, in milliseconds.
    pub idle_gap_ms: f64,
    /// Number of tokens in an event.
    pub event_tokens: f64,
    /// Fraction of the tokens assumed to be cached that are cached.
    pub assumed_hit_rate: f64,
    /// Mean time of a plain call, in milliseconds.
    pub call_ms: f64,
    /// Upper limit of the usual time of a plain call. It includes usual slowdowns, and isn't
    /// scaled by the present one.
    pub max_call_time: Duration,
    /// Factor by which other work on the server's machine slows it down at the moment; the other
    /// figures include it. 1 if the server reports none.
    pub slowdown: f64,
}

impl ServerSpeed {
    /// Returns the speed of the server while work takes `factor` times as long.
    pub fn slowed_by(&self, factor: f64) -> Self {
        Self {
            prefill_tokens_per_ms: self.prefill_tokens_per_ms / factor,
            first_event_ms: self.first_event_ms * factor,
            copy_ms: self.copy_ms * factor,
            event_gap_ms: self.event_gap_ms * factor,
            idle_gap_ms: self.idle_gap_ms * factor,
            event_tokens: self.event_tokens,
            assumed_hit_rate: self.assumed_hit_rate,
            call_ms: self.call_ms * factor,
            max_call_time: self.max_call_time,
            slowdown: self.slowdown * factor,
        }
    }

    /// Returns how much longer than usual a plain call takes because of the slowdown, in
    /// milliseconds; negative if the server is faster than usual.
    pub fn call_delay_ms(&self) -> f64 {
        self.call_ms - self.call_ms / self.slowdown
    }

    /// Returns the factor by which the tolerated silence is longer than at the usual speed.
    fn tolerance(&self) -> f64 {
        self.slowdown.clamp(1.0, MAX_TOLERATED_SLOWDOWN)
    }

    /// Returns the tolerated part of a time that the slowdown has made longer.
    fn tolerated_ms(&self, slowed_ms: f64) -> f64 {
        slowed_ms / self.slowdown * self.tolerance()
    }

    /// Returns the delay that one more request on an engine causes for the next one, in
    /// milliseconds.
    pub fn concurrency_delay_ms(&self) -> f64 {
        self.idle_gap_ms * CONCURRENCY_DELAY_FRACTION
    }

    /// Returns the delay that one more waiting request at an engine causes for the next one, in
    /// milliseconds.
    pub fn queue_delay_ms(&self) -> f64 {
        self.idle_gap_ms * QUEUE_DELAY_FRACTION
    }

    /// Returns the number of prompt tokens waiting for prefill from which an engine counts as full.
    pub fn max_backlog(&self) -> u64 {
        (self.prefill_tokens_per_ms * MAX_BACKLOG_MS) as u64
    }

    /// Returns the expected time to a first event with `tokens` to prefill before it.
    pub fn time_to_first_event(&self, tokens: TokenCount) -> Duration {
        self.prefill_time(tokens) + millis(self.first_event_ms)
    }

    /// Returns the mean time of a plain call.
    pub fn call_time(&self) -> Duration {
        millis(self.call_ms)
    }

    /// Returns the number of tokens assumed to be cached that are expected to be missing.
    pub fn expected_misses(&self, assumed: TokenCount) -> TokenCount {
        TokenCount::new((assumed.get() as f64 * (1.0 - self.assumed_hit_rate)) as u64)
    }

    /// Returns the time in which a copy from another engine begins.
    pub fn copy_time(&self) -> Duration {
        millis(self.copy_ms)
    }

    /// Returns the prefill time of `tokens`.
    pub fn prefill_time(&self, tokens: TokenCount) -> Duration {
        millis(tokens.get() as f64 / self.prefill_tokens_per_ms)
    }

    /// Returns the expected number of events in an answer.
    pub fn events(&self, answer: TokenCount) -> f64 {
        answer.get() as f64 / self.event_tokens
    }

    /// Returns the expected time from the first event of an answer to the last.
    pub fn generation_time(&self, answer: TokenCount) -> Duration {
        millis(self.events(answer) * self.event_gap_ms)
    }

    /// Returns the expected time until one of an engine's `slots` is free for another request,
    /// given the `requests` already there. Each of them is taken to keep its slot for as long as
    /// this answer takes. Without this wait prompts would stay at full homes.
    pub fn slot_wait(&self, slots: u32, requests: u32, answer: TokenCount) -> Duration {
        let before = requests.saturating_add(1).saturating_sub(slots);
        if slots == 0 || before == 0 {
            return Duration::ZERO;
        }
        let kept = self.generation_time(answer) + millis(self.first_event_ms);
        kept.mul_f64(f64::from(before) / f64::from(slots))
    }

    /// Returns the cost of an answer token on an engine with `slots` slots, in prompt tokens
    /// prefilled.
    pub fn answer_token_work(&self, slots: u32) -> f64 {
        let token_ms = self.event_gap_ms / self.event_tokens;
        token_ms / f64::from(slots.max(1)) * self.prefill_tokens_per_ms
    }

    /// Returns the silence within a stream after which the stream is abandoned.
    pub fn stream_silence(&self) -> Duration {
        millis(self.tolerated_ms(self.event_gap_ms) * MAX_LATE_EVENTS).max(MIN_STREAM_SILENCE)
    }

    /// Returns the silence of an engine with running requests after which no more requests are sent
    /// to it.
    pub fn engine_silence(&self) -> Duration {
        millis(self.tolerated_ms(self.event_gap_ms) * MAX_LATE_EVENTS_OF_ENGINE)
            .max(MIN_ENGINE_SILENCE)
    }

    /// Returns the silence before a stream's first event after which the stream is abandoned, with
    /// `tokens` to prefill before the event.
    pub fn first_event_silence(&self, tokens: TokenCount) -> Duration {
        self.time_to_first_event(tokens)
            .mul_f64(self.tolerated_ms(MAX_FIRST_EVENT_FACTOR))
            .max(MIN_FIRST_EVENT_SILENCE)
    }

    /// Returns the silence of a plain service after which a call is abandoned.
    pub fn call_silence(&self) -> Duration {
        scaled(self.max_call_time, self.tolerance()).max(MIN_CALL_SILENCE)
    }
}

/// Multiplies a time by a factor. A factor of 1 leaves it as it is, to the nanosecond.
pub(super) fn scaled(span: Duration, factor: f64) -> Duration {
    if factor == 1.0 {
        return span;
    }
    saturating_secs(span.as_secs_f64() * factor)
}

fn millis(span: f64) -> Duration {
    saturating_millis(span)
}
