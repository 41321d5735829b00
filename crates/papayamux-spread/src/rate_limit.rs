//! Rate limits for bytes and service calls, and back-off between retries.

use std::cell::Cell;
use std::time::{Duration, Instant};

use rand::RngExt;

/// A token bucket. Waiting callers are served in order, because each takes its tokens immediately
/// and then waits until the debt is paid.
#[derive(Debug)]
pub struct TokenBucket {
    rate: Cell<f64>,
    burst: Cell<f64>,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` and gains `rate` per second, up to `burst`.
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

    /// Takes `count` tokens and returns the wait until the bucket owes at most `debt`.
    pub fn reserve(&self, count: f64, debt: f64, now: Instant) -> Duration {
        self.refill(now);
        let left = self.tokens.get() - count;
        self.tokens.set(left);
        let missing = (-left - debt).max(0.0);
        Duration::from_secs_f64(missing / self.rate.get())
    }

    /// Returns unused tokens to the bucket.
    pub fn refund(&self, count: f64) {
        self.tokens.set((self.tokens.get() + count).min(self.burst.get()));
    }

    /// Takes `count` tokens and waits until the bucket owes at most `debt`.
    pub async fn take(&self, count: f64, debt: f64) {
        let wait = self.reserve(count, debt, Instant::now());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
    }
}

/// Exponential back-off with jitter between failed attempts.
#[derive(Debug, Clone)]
pub struct RetryBackoff {
    initial_delay: Duration,
    max_delay: Duration,
    next_max: Duration,
}

impl RetryBackoff {
    /// Creates a back-off whose delays start below `initial_delay` and grow up to `max_delay`.
    pub fn new(initial_delay: Duration, max_delay: Duration) -> Self {
        Self { initial_delay, max_delay, next_max: initial_delay }
    }

    /// Returns the next delay: a random duration between half of the current maximum and the
    /// maximum, which then doubles.
    pub fn next_delay(&mut self) -> Duration {
        let next_max = self.next_max;
        self.next_max = (next_max * 2).min(self.max_delay);
        next_max.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Resets the delays after a success.
    pub fn reset(&mut self) {
        self.next_max = self.initial_delay;
    }
}
