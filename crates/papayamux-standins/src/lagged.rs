//! Values that others see some time after they changed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Changes kept at most; beyond that, the oldest become visible early.
const MAX_PENDING_CHANGES: usize = 65_536;

/// A value of which readers see the state of some time ago.
#[derive(Debug)]
pub struct LaggedValue<T> {
    lag: Duration,
    visible: T,
    changes: VecDeque<(Instant, T)>,
}

impl<T: Clone + PartialEq> LaggedValue<T> {
    /// A value that readers see `lag` late, and that was `first` ever since.
    pub fn new(lag: Duration, first: T) -> Self {
        Self { lag, visible: first, changes: VecDeque::new() }
    }

    /// The value is `value` from `now` on.
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

    /// The value as it truly is.
    pub fn present(&self) -> &T {
        self.changes.back().map_or(&self.visible, |(_, value)| value)
    }

    /// The value as a reader sees it at `now`.
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
