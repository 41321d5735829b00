//! How long an engine still has to compute prompts that it was given before.

use std::cell::Cell;
use std::time::Duration;

use papayamux_protocol::link::AgentClock;
use papayamux_state::quantities::TokenCount;

/// The backlog of one engine, by its rate and by what its agent gave it; the engine's own report
/// comes too late for that.
#[derive(Debug)]
pub struct PrefillBacklog {
    tokens_per_second: f64,
    busy_until_ms: Cell<f64>,
}

impl PrefillBacklog {
    /// A backlog of an engine that computes so many prompt tokens a second.
    pub fn new(tokens_per_second: TokenCount) -> Self {
        let tokens_per_second = tokens_per_second.get().max(1) as f64;
        Self { tokens_per_second, busy_until_ms: Cell::new(0.0) }
    }

    /// Prompt tokens that the engine computes in a second.
    pub fn rate(&self) -> TokenCount {
        TokenCount::new(self.tokens_per_second as u64)
    }

    /// How long the engine needs for a prompt of which so many tokens are not cached.
    pub fn time_for(&self, tokens: TokenCount) -> Duration {
        Duration::from_secs_f64(tokens.get() as f64 / self.tokens_per_second)
    }

    /// Adds a prompt that the engine is given at `now`.
    pub fn add(&self, tokens: TokenCount, now: AgentClock) {
        let start = self.busy_until_ms.get().max(now.0 as f64);
        self.busy_until_ms.set(start + self.time_for(tokens).as_secs_f64() * 1_000.0);
    }

    /// How long the engine still computes at `now`.
    pub fn left(&self, now: AgentClock) -> Duration {
        let left_ms = (self.busy_until_ms.get() - now.0 as f64).max(0.0);
        Duration::from_secs_f64(left_ms / 1_000.0)
    }
}
