//! The retries of all routers together stay within the fleet's budget.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::service_retry_budget::{RetryAllowance, ServiceRetryBudget};
use papayamux_state::ids::ServiceId;

const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

fn service() -> ServiceId {
    "plain".parse().unwrap()
}

/// Simulates routers without contact to each other. Each has a share of the requests, all of which
/// fail. Returns the retries and requests of the window with the most retries.
fn retries_in_window(routers: usize, requests_per_second: usize) -> (usize, usize) {
    let started_at = Instant::now();
    let mut budgets: Vec<_> =
        (0..routers).map(|_| ServiceRetryBudget::new(ALLOWANCE, started_at)).collect();
    let mut log = Vec::new();
    for millis in 0..30_000u64 {
        if millis % (1_000 / requests_per_second as u64) != 0 {
            continue;
        }
        let now = started_at + Duration::from_millis(millis);
        let budget = &mut budgets[(millis as usize / 7) % routers];
        budget.record_request(&service(), now);
        let retried = budget.take_retry(&service(), now);
        log.push((millis, retried));
    }
    let window = |from: u64| {
        let inside = log.iter().filter(|(at, _)| (from..from + 10_000).contains(at));
        let inside: Vec<_> = inside.collect();
        let retries = inside.iter().filter(|(_, retried)| *retried).count();
        (retries, inside.len())
    };
    (0..20_000).step_by(250).map(window).max_by_key(|(retries, _)| *retries).unwrap()
}

#[test]
fn isolated_routers_stay_within_the_fleet_budget() {
    for (routers, rate) in [(1, 20), (5, 50), (8, 100)] {
        let (retries, requests) = retries_in_window(routers, rate);
        let most = ALLOWANCE.ratio * requests as f64 + ALLOWANCE.slack;
        assert!((retries as f64) <= most, "{routers} routers: {retries} of {most}");
        assert!(retries > 0);
    }
}

#[test]
fn every_known_router_takes_its_share_of_the_slack() {
    let now = Instant::now();
    let mut budget = ServiceRetryBudget::new(ALLOWANCE, now);
    budget.record_routers(40);
    assert!(!budget.take_retry(&service(), now), "56 divided by 60 routers is less than one");
    budget.record_routers(2);
    assert!(!budget.take_retry(&service(), now), "silent routers keep their share");
}

#[test]
fn budget_recovers_with_the_window() {
    let now = Instant::now();
    let mut budget = ServiceRetryBudget::new(ALLOWANCE, now);
    budget.record_routers(1);
    let now = now + ALLOWANCE.window + Duration::from_secs(1);
    assert!(budget.take_retry(&service(), now));
    while budget.take_retry(&service(), now) {}
    let later = now + ALLOWANCE.window + Duration::from_secs(1);
    assert!(budget.take_retry(&service(), later));
}

#[test]
fn restarts_of_a_lone_router_stay_within_the_budget() {
    let now = Instant::now();
    let starts = 8;
    let taken = (0..starts).map(|start| {
        let now = now + ALLOWANCE.window / starts * start;
        let mut budget = ServiceRetryBudget::alone(ALLOWANCE, now);
        std::iter::from_fn(|| budget.take_retry(&service(), now).then_some(())).count()
    });
    let taken: usize = taken.sum();
    assert!(taken > 0 && taken as f64 <= ALLOWANCE.slack, "{taken}");
}
