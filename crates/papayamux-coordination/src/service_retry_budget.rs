//! How often requests may be sent again, for all routers together.
//!
//! The fleet's budget in any window is a share of the requests plus a slack. Each router spends a
//! share of its own requests, and an equal part of the slack, so that the sum holds also while
//! routers can't hear one another.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use papayamux_state::ids::ServiceId;

/// Width of a counting bucket: what is counted may be off by this much time at a window's edge.
const BUCKET: Duration = Duration::from_millis(500);
/// Routers that share the slack at least. Routers that are not heard of, and the ones that
/// replaced them, spend their part too.
const FEWEST_SHARERS: u32 = 8;
/// Part of the ratio that is spent: the rest covers requests whose first sending fell into
/// another window than their repeat.
const RATIO_USED: f64 = 0.8;

/// The fleet's budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats of all routers in a window beside that.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

impl Default for RetryAllowance {
    /// A fifth of the requests and a small slack in ten seconds: the usual guard against retry
    /// storms where the operator sets nothing.
    fn default() -> Self {
        Self { ratio: 0.2, slack: 16.0, window: Duration::from_secs(10) }
    }
}

#[derive(Debug, Clone, Copy)]
struct CountBucket {
    begun: Instant,
    requests: u32,
    repeats: u32,
}

/// What a router has counted for one service, for its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAccount {
    /// Requests in the window.
    pub requests: u32,
    /// Repeats in the window.
    pub repeats: u32,
    /// Routers that share the slack.
    pub sharers: u32,
}

/// One router's part of the budget, for each service.
#[derive(Debug)]
pub struct ServiceRetryBudget {
    allowance: RetryAllowance,
    sharers: u32,
    services: HashMap<ServiceId, VecDeque<CountBucket>>,
}

impl ServiceRetryBudget {
    /// A budget that is shared by an unknown number of routers.
    pub fn new(allowance: RetryAllowance) -> Self {
        Self { allowance, sharers: FEWEST_SHARERS, services: HashMap::new() }
    }

    /// Notes how many routers there are, this one included. The most ever seen counts, and half
    /// as many again for those not heard of.
    pub fn note_routers(&mut self, routers: u32) {
        self.sharers = self.sharers.max(routers + routers / 2);
    }

    /// Counts the first sending of a request.
    pub fn note_request(&mut self, service: &ServiceId, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Whether there is room for one more repeat.
    pub fn has_room(&self, service: &ServiceId, now: Instant) -> bool {
        let (requests, repeats) = self.counts(service, now);
        let from_requests = f64::from(requests) * self.allowance.ratio * RATIO_USED;
        let from_slack = self.allowance.slack / f64::from(self.sharers);
        f64::from(repeats) + 1.0 <= from_requests + from_slack
    }

    /// Takes one repeat; `false` where the budget is used up.
    pub fn take_repeat(&mut self, service: &ServiceId, now: Instant) -> bool {
        if !self.has_room(service, now) {
            return false;
        }
        self.bucket(service, now).repeats += 1;
        true
    }

    /// What is counted in the window that ends now.
    pub fn account(&self, service: &ServiceId, now: Instant) -> RetryAccount {
        let (requests, repeats) = self.counts(service, now);
        RetryAccount { requests, repeats, sharers: self.sharers }
    }

    fn counts(&self, service: &ServiceId, now: Instant) -> (u32, u32) {
        let buckets = self.services.get(service).into_iter().flatten();
        let window = self.allowance.window + BUCKET;
        buckets
            .filter(|bucket| now.saturating_duration_since(bucket.begun) < window)
            .fold((0, 0), |(requests, repeats), bucket| {
                (requests + bucket.requests, repeats + bucket.repeats)
            })
    }

    fn bucket(&mut self, service: &ServiceId, now: Instant) -> &mut CountBucket {
        let window = self.allowance.window + BUCKET;
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets.front().is_some_and(|first| now - first.begun > window) {
            buckets.pop_front();
        }
        let is_current =
            |bucket: &CountBucket| now.saturating_duration_since(bucket.begun) < BUCKET;
        if !buckets.back().is_some_and(is_current) {
            buckets.push_back(CountBucket { begun: now, requests: 0, repeats: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
