//! The retry budget that all routers share.
//!
//! In any window, the fleet's budget is a share of the requests plus a burst allowance, the slack.
//! Each router spends a share of its own requests and an equal part of the slack, so that the sum
//! holds even while routers can't reach each other.
//!
//! The requests that count for a window are half of its own and half of those in the previous
//! window, for every window that has not ended yet. Both terms add up over all routers and over the
//! starts of a router, so that neither a fall in load nor restarting routers can make the sum
//! exceed the share. The window's own requests alone would leave nothing for a sudden loss of
//! servers, and the previous ones alone nothing for a router that has just started.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use papayamux_state::ids::ServiceId;

/// Number of buckets in a window. A bucket at the edge of a window counts fully as retries and not
/// at all as requests.
const BUCKETS: usize = 20;
/// The buckets of two windows, and the current one.
const KEPT_BUCKETS: usize = 2 * BUCKETS + 1;
/// Minimum number of routers that share the slack. Routers that are out of contact, and those that
/// replaced them, spend their part too.
const MIN_SHARERS: u32 = 8;
/// Share of the ratio that is spent. The rest covers requests that callers sent in another window
/// than the one in which the router counts them.
const RATIO_USED: f64 = 0.8;
/// Weight of the requests of a window and of the previous one.
const REQUEST_WEIGHT: f64 = 0.5;

/// The fleet's budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all routers in a window.
    pub slack: f64,
    /// The length of a window.
    pub window: Duration,
}

impl Default for RetryAllowance {
    /// A fifth of the requests and a small slack in ten seconds: the usual protection against retry
    /// storms if the operator sets nothing.
    fn default() -> Self {
        Self { ratio: 0.2, slack: 16.0, window: Duration::from_secs(10) }
    }
}

/// The counts of a router for one service, for its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub retries: u32,
    /// Number of routers that share the slack; `None` while it is unknown.
    pub sharers: Option<u32>,
}

#[derive(Debug, Clone, Copy, Default)]
struct CountBucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// One router's part of the budget, for each service.
#[derive(Debug)]
pub struct ServiceRetryBudget {
    allowance: RetryAllowance,
    started: Instant,
    sharers: Option<u32>,
    /// The first bucket in which the router uses its part of the slack.
    first_slack_bucket: u64,
    services: HashMap<ServiceId, VecDeque<CountBucket>>,
}

impl ServiceRetryBudget {
    /// Creates the budget of a router that starts at `now` among an unknown number of routers.
    pub fn new(allowance: RetryAllowance, now: Instant) -> Self {
        let first_slack_bucket = BUCKETS as u64 + 1;
        Self {
            allowance,
            started: now,
            sharers: None,
            first_slack_bucket,
            services: HashMap::new(),
        }
    }

    /// Creates the budget of a router without others. The slack is still divided among several, so
    /// that the starts of the router in one window leave enough for each other.
    pub fn alone(allowance: RetryAllowance, now: Instant) -> Self {
        Self { sharers: Some(MIN_SHARERS), first_slack_bucket: 0, ..Self::new(allowance, now) }
    }

    /// Records that all routers are known and how many there are, including this one. The highest
    /// number counts, plus half as many for routers that are out of contact.
    pub fn record_routers(&mut self, routers: u32) {
        let sharers = routers.saturating_add(routers / 2).max(MIN_SHARERS);
        self.sharers = self.sharers.max(Some(sharers));
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Returns whether one more retry fits into every window that contains `now`.
    pub fn allows_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let recent = self.recent_buckets(service, now);
        let slack_retries = self.slack_share(now);
        let mut retries = 1;
        let mut requests = requests_in(&recent[..BUCKETS]);
        // The window that begins in the current bucket, then those that began earlier.
        for first in 0..=BUCKETS {
            retries += recent[first].retries;
            let request_retries =
                f64::from(requests) * REQUEST_WEIGHT * self.allowance.ratio * RATIO_USED;
            if f64::from(retries) > request_retries + slack_retries {
                return false;
            }
            requests += recent[first + BUCKETS].requests;
        }
        true
    }

    /// Returns this router's part of the slack. An earlier start of the router may have spent it in
    /// any window that began before this start. A router that knows of no others may be
    /// disconnected from very many.
    fn slack_share(&self, now: Instant) -> f64 {
        match self.sharers {
            Some(sharers) if self.bucket_number(now) >= self.first_slack_bucket => {
                self.allowance.slack / f64::from(sharers)
            }
            _ => 0.0,
        }
    }

    /// Takes one retry from the budget. Returns `false` if it is exhausted.
    pub fn take_retry(&mut self, service: &ServiceId, now: Instant) -> bool {
        if !self.allows_retry(service, now) {
            return false;
        }
        self.bucket(service, now).retries += 1;
        true
    }

    /// Returns the counts of the window that ends at `now`.
    pub fn usage(&self, service: &ServiceId, now: Instant) -> RetryUsage {
        let recent = self.recent_buckets(service, now);
        let window = &recent[..=BUCKETS];
        RetryUsage {
            requests: requests_in(window),
            retries: window.iter().map(|bucket| bucket.retries).sum(),
            sharers: self.sharers,
        }
    }

    /// Returns the buckets of two windows, the current one first.
    fn recent_buckets(&self, service: &ServiceId, now: Instant) -> [CountBucket; KEPT_BUCKETS] {
        let current = self.bucket_number(now);
        let mut recent = [CountBucket::default(); KEPT_BUCKETS];
        for bucket in self.services.get(service).into_iter().flatten() {
            let age = usize::try_from(current.saturating_sub(bucket.number)).unwrap_or(usize::MAX);
            if let Some(kept) = recent.get_mut(age) {
                *kept = *bucket;
            }
        }
        recent
    }

    fn bucket_number(&self, now: Instant) -> u64 {
        let width = (self.allowance.window.as_millis() / BUCKETS as u128).max(1);
        let age = now.saturating_duration_since(self.started);
        u64::try_from(age.as_millis() / width).unwrap_or(u64::MAX)
    }

    fn bucket(&mut self, service: &ServiceId, now: Instant) -> &mut CountBucket {
        let number = self.bucket_number(now);
        let buckets = self.services.entry(service.clone()).or_default();
        let is_old = |bucket: &CountBucket| bucket.number + (KEPT_BUCKETS as u64) <= number;
        while buckets.front().is_some_and(is_old) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|last| last.number < number) {
            buckets.push_back(CountBucket { number, requests: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}

fn requests_in(buckets: &[CountBucket]) -> u32 {
    buckets.iter().map(|bucket| bucket.requests).sum()
}
