//! Paces: how many bytes a process may exchange and how many reads it may make.

use std::cell::Cell;
use std::time::{Duration, Instant};

use rand::RngExt;

/// A token bucket. Waiting takers are served in turn, because each takes its tokens at once and
/// then waits until the debt is paid.
#[derive(Debug)]
pub struct TokenBucket {
    rate: Cell<f64>,
    burst: Cell<f64>,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl TokenBucket {
    /// A bucket with `tokens` in it that gains `rate` a second, up to `burst`.
    pub fn new(rate: f64, burst: f64, tokens: f64, now: Instant) -> Self {
        Self {
            rate: Cell::new(rate),
            burst: Cell::new(burst),
            tokens: Cell::new(tokens),
            refilled_at: Cell::new(now),
        }
    }

    /// Changes rate and burst from now on.
    pub fn set_rate(&self, rate: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.rate.set(rate);
        self.burst.set(burst);
        self.tokens.set(self.tokens.get().min(burst));
    }

    fn refill(&self, now: Instant) {
        let gained = now.saturating_duration_since(self.refilled_at.get()).as_secs_f64();
        let tokens = self.tokens.get() + gained * self.rate.get();
        self.tokens.set(tokens.min(self.burst.get()));
        self.refilled_at.set(now);
    }

    /// Takes `count` tokens and says how long to wait until the bucket owes no more than `debt`.
    pub fn reserve(&self, count: f64, debt: f64, now: Instant) -> Duration {
        self.refill(now);
        let left = self.tokens.get() - count;
        self.tokens.set(left);
        let missing = (-left - debt).max(0.0);
        Duration::from_secs_f64(missing / self.rate.get())
    }

    /// Gives tokens back that were taken and not used.
    pub fn refund(&self, count: f64) {
        self.tokens.set((self.tokens.get() + count).min(self.burst.get()));
    }

    /// Takes `count` tokens once the bucket owes no more than `debt`.
    pub async fn take(&self, count: f64, debt: f64) {
        let wait = self.reserve(count, debt, Instant::now());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
    }
}

/// Growing pauses between attempts that fail, spread at random.
#[derive(Debug, Clone)]
pub struct RetryBackoff {
    initial_delay: Duration,
    max_delay: Duration,
    next_max: Duration,
}

impl RetryBackoff {
    /// Pauses of up to `first` at the beginning and up to `longest` in the end.
    pub fn new(initial_delay: Duration, max_delay: Duration) -> Self {
        Self { initial_delay, max_delay, next_max: initial_delay }
    }

    /// The next pause: between half the bound and the bound, which then doubles.
    pub fn next_delay(&mut self) -> Duration {
        let next_max = self.next_max;
        self.next_max = (next_max * 2).min(self.max_delay);
        next_max.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.next_max = self.initial_delay;
    }
}
