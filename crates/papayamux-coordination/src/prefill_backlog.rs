//! The time that an engine needs for the prompts it was already given.

use std::cell::Cell;
use std::time::Duration;

use papayamux_protocol::link::AgentClock;
use papayamux_state::durations::{saturating_millis, saturating_secs};
use papayamux_state::quantities::TokenCount;

/// Backlog of one engine, computed from its prefill rate and the prompts that its agent gave it.
/// The engine's own report would arrive too late.
#[derive(Debug)]
pub struct PrefillBacklog {
    tokens_per_second: f64,
    busy_until_ms: Cell<f64>,
}

impl PrefillBacklog {
    /// Creates the backlog of an engine that prefills `tokens_per_second`.
    pub fn new(tokens_per_second: TokenCount) -> Self {
        let tokens_per_second = tokens_per_second.get().max(1) as f64;
        Self { tokens_per_second, busy_until_ms: Cell::new(0.0) }
    }

    /// Returns the number of prompt tokens that the engine prefills per second.
    pub fn rate(&self) -> TokenCount {
        TokenCount::new(self.tokens_per_second as u64)
    }

    /// Returns the prefill time of a prompt of which `tokens` are not cached.
    pub fn time_for(&self, tokens: TokenCount) -> Duration {
        saturating_secs(tokens.get() as f64 / self.tokens_per_second)
    }

    /// Adds a prompt that the engine is given at `now`.
    pub fn add(&self, tokens: TokenCount, now: AgentClock) {
        let start = self.busy_until_ms.get().max(now.0 as f64);
        self.busy_until_ms.set(start + self.time_for(tokens).as_secs_f64() * 1_000.0);
    }

    /// Returns the time for which the engine is still busy at `now`.
    pub fn left(&self, now: AgentClock) -> Duration {
        let left_ms = (self.busy_until_ms.get() - now.0 as f64).max(0.0);
        saturating_millis(left_ms)
    }
}
