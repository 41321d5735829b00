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
    filled: Cell<Instant>,
}

impl TokenBucket {
    /// A bucket with `tokens` in it that gains `rate` a second, up to `burst`.
    pub fn new(rate: f64, burst: f64, tokens: f64, now: Instant) -> Self {
        Self {
            rate: Cell::new(rate),
            burst: Cell::new(burst),
            tokens: Cell::new(tokens),
            filled: Cell::new(now),
        }
    }

    /// Changes rate and burst from now on.
    pub fn set_rate(&self, rate: f64, burst: f64, now: Instant) {
        self.fill(now);
        self.rate.set(rate);
        self.burst.set(burst);
        self.tokens.set(self.tokens.get().min(burst));
    }

    fn fill(&self, now: Instant) {
        let gained = now.saturating_duration_since(self.filled.get()).as_secs_f64();
        let tokens = self.tokens.get() + gained * self.rate.get();
        self.tokens.set(tokens.min(self.burst.get()));
        self.filled.set(now);
    }

    /// Takes `count` tokens and says how long to wait until the bucket owes no more than `debt`.
    pub fn reserve(&self, count: f64, debt: f64, now: Instant) -> Duration {
        self.fill(now);
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
    first: Duration,
    longest: Duration,
    bound: Duration,
}

impl RetryBackoff {
    /// Pauses of up to `first` at the beginning and up to `longest` in the end.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, bound: first }
    }

    /// The next pause: between half the bound and the bound, which then doubles.
    pub fn pause(&mut self) -> Duration {
        let bound = self.bound;
        self.bound = (bound * 2).min(self.longest);
        bound.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.bound = self.first;
    }
}
