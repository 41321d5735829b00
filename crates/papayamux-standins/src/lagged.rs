//! Values whose changes become visible to readers after a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of pending changes; beyond that, the oldest become visible early.
const MAX_PENDING_CHANGES: usize = 65_536;

/// A value whose changes become visible to readers after a fixed lag.
#[derive(Debug)]
pub struct LaggedValue<T> {
    lag: Duration,
    visible: T,
    changes: VecDeque<(Instant, T)>,
}

impl<T: Clone + PartialEq> LaggedValue<T> {
    /// Creates a value that is `first` initially, and whose changes become visible after `lag`.
    pub fn new(lag: Duration, first: T) -> Self {
        Self { lag, visible: first, changes: VecDeque::new() }
    }

    /// Changes the value to `value` as of `now`.
    pub fn set(&mut self, now: Instant, value: T) {
        if *self.present() == value {
            return;
        }
        self.changes.push_back((now, value));
        self.settle(now);
        if self.changes.len() > MAX_PENDING_CHANGES {
            self.show_next();
        }
    }

    /// Returns the current value, without lag.
    pub fn present(&self) -> &T {
        self.changes.back().map_or(&self.visible, |(_, value)| value)
    }

    /// Returns the value that is visible to readers at `now`.
    pub fn seen(&mut self, now: Instant) -> &T {
        self.settle(now);
        &self.visible
    }

    fn settle(&mut self, now: Instant) {
        while self.changes.front().is_some_and(|(at, _)| *at + self.lag <= now) {
            self.show_next();
        }
    }

    fn show_next(&mut self) {
        if let Some((_, value)) = self.changes.pop_front() {
            self.visible = value;
        }
    }
}
