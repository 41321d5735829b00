//! Simulated fleets of routers that share a retry budget while they restart and while the load
//! changes.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::service_retry_budget::{RetryAllowance, ServiceRetryBudget};
use papayamux_state::ids::ServiceId;

const WINDOW: u64 = 10_000;
const TICK: u64 = 10;
const LEARNS_AFTER: Option<u64> = Some(1_000);

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

/// Requests per second of a whole fleet, at a time in milliseconds.
type FleetLoad = fn(u64) -> u64;

/// The simulated fleet and its faults.
struct Scenario {
    routers: usize,
    slack: f64,
    load: FleetLoad,
    /// Returns whether a request that is sent at this time fails on every attempt.
    fails: fn(u64) -> bool,
    /// Returns whether a router restarts at this time.
    restarts: fn(usize, u64) -> bool,
    /// The time after its start at which a router learns the number of routers; `None` if it never
    /// does.
    learns_after: Option<u64>,
    millis: u64,
}

struct Counts {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Scenario {
    fn allowance(&self) -> RetryAllowance {
        let window = Duration::from_millis(WINDOW);
        RetryAllowance { ratio: 0.2, slack: self.slack, window }
    }

    /// Returns the requests and retries in each tick. A failed request is retried while the budget
    /// allows it, at most twice.
    fn run(&self) -> Counts {
        let started_at = Instant::now();
        let at = |millis: u64| started_at + Duration::from_millis(millis);
        let start = |millis| (ServiceRetryBudget::new(self.allowance(), at(millis)), millis);
        let mut routers: Vec<_> = (0..self.routers).map(|_| start(0)).collect();
        let mut counts = Counts { requests: Vec::new(), retries: Vec::new() };
        let (mut due, mut next) = (0, 0);
        for millis in (0..self.millis).step_by(TICK as usize) {
            let (mut requests, mut retries) = (0, 0);
            for (index, router) in routers.iter_mut().enumerate() {
                if (self.restarts)(index, millis) {
                    *router = start(millis);
                }
                if self.learns_after.is_some_and(|after| millis == router.1 + after) {
                    router.0.record_routers(self.routers as u32);
                }
            }
            due += (self.load)(millis) * TICK;
            while due >= 1_000 {
                due -= 1_000;
                next = (next * 31 + 7) % 1_000_003;
                let budget = &mut routers[next % self.routers].0;
                budget.record_request(&service(), at(millis));
                requests += 1;
                for _ in 0..2 {
                    if (self.fails)(millis) && budget.take_retry(&service(), at(millis)) {
                        retries += 1;
                    }
                }
            }
            counts.requests.push(requests);
            counts.retries.push(retries);
        }
        counts
    }
}

impl Counts {
    fn sum(counts: &[u64], from: i64, to: i64) -> u64 {
        let index = |millis: i64| (millis.max(0) as usize / TICK as usize).min(counts.len());
        counts[index(from)..index(to)].iter().sum()
    }

    /// Returns the window with the most retries beyond the allowed number: its start, its retries
    /// and the allowed number.
    fn worst(&self, slack: f64) -> (i64, u64, f64) {
        let window = WINDOW as i64;
        let windows = (0..self.retries.len() as i64 * TICK as i64 - window).step_by(50);
        let of = |from: i64| {
            let retries = Self::sum(&self.retries, from, from + window);
            // The window's own requests, those of the previous one, or those of the one half a
            // window earlier.
            let requests = [from, from - window / 2, from - window]
                .map(|from| Self::sum(&self.requests, from, from + window));
            let allowed = 0.2 * requests.into_iter().max().unwrap() as f64 + slack;
            (from, retries, allowed)
        };
        let excess = |(_, retries, allowed): &(i64, u64, f64)| *retries as f64 - allowed;
        windows.map(of).max_by(|left, right| excess(left).total_cmp(&excess(right))).unwrap()
    }
}

/// The number of routers, the slack and the load of each fleet.
fn fleets() -> [(usize, f64, FleetLoad); 3] {
    [(6, 58.0, |_| 115), (24, 100.0, |_| 400), (300, 1_000.0, |_| 6_000)]
}

fn check(scenario: &Scenario) {
    let counts = scenario.run();
    let (from, retries, allowed) = counts.worst(scenario.slack);
    assert!(
        retries as f64 <= allowed,
        "{} routers: {retries} retries from {from} ms, allowed {allowed}",
        scenario.routers
    );
    assert!(Counts::sum(&counts.retries, 0, scenario.millis as i64) > 0, "no request was retried");
}

#[test]
fn routers_that_restart_at_once_stay_within_the_budget() {
    for (routers, slack, load) in fleets() {
        check(&Scenario {
            routers,
            slack,
            load,
            fails: |millis| millis > 12_000,
            restarts: |_, millis| matches!(millis, 14_000 | 16_500 | 19_000),
            learns_after: LEARNS_AFTER,
            millis: 40_000,
        });
    }
}

#[test]
fn routers_that_restart_in_series_stay_within_the_budget() {
    for (routers, slack, load) in fleets() {
        check(&Scenario {
            routers,
            slack,
            load,
            fails: |millis| millis > 12_000,
            restarts: |index, millis| {
                millis > 12_000 && millis % 4_000 == (index as u64 * 70) % 4_000
            },
            learns_after: LEARNS_AFTER,
            millis: 40_000,
        });
    }
}

#[test]
fn retries_fall_with_the_load_after_a_burst() {
    let bursts: [FleetLoad; 3] = [
        |millis| if millis % 16_000 < 2_000 { 6_000 } else { 30 },
        |millis| if matches!(millis % 30_000, 0..1_000 | 5_600..8_000) { 6_000 } else { 10 },
        |millis| if millis < 15_000 { 6_000 } else { 60 },
    ];
    for load in bursts {
        for routers in [6, 24, 300] {
            check(&Scenario {
                routers,
                slack: 58.0,
                load,
                fails: |millis| millis % 16_000 > 1_500,
                restarts: |_, _| false,
                learns_after: LEARNS_AFTER,
                millis: 45_000,
            });
        }
    }
}

#[test]
fn isolated_routers_that_restart_stay_within_the_budget() {
    check(&Scenario {
        routers: 300,
        slack: 1_000.0,
        load: |_| 300,
        fails: |millis| millis > 12_000,
        restarts: |_, millis| millis > 12_000 && millis % 900 == 0,
        learns_after: None,
        millis: 40_000,
    });
}

#[test]
fn isolated_routers_stay_within_the_budget() {
    check(&Scenario {
        routers: 300,
        slack: 1_000.0,
        load: |_| 6_000,
        fails: |millis| millis > 12_000,
        restarts: |_, _| false,
        learns_after: None,
        millis: 40_000,
    });
}
