//! Silence and failures of servers, as their answers to requests show them.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::failure_rates::FailureRates;
use papayamux_coordination::server_liveness::LivenessTracker;
use papayamux_state::ids::ServerId;

fn id(name: &str) -> ServerId {
    name.parse().unwrap()
}

fn after(begun: Instant, millis: u64) -> Instant {
    begun + Duration::from_millis(millis)
}

#[test]
fn server_is_silent_only_while_others_respond() {
    let begun = Instant::now();
    let mut liveness = LivenessTracker::default();
    liveness.begin(&id("dark"), begun);
    liveness.begin(&id("busy"), begun);
    liveness.record_contact(&id("busy"), after(begun, 300));
    assert_eq!(liveness.silence(&id("dark"), after(begun, 400)), Some(Duration::from_millis(400)));
    // The process was paused: there was no contact with any server for long.
    assert_eq!(liveness.silence(&id("dark"), after(begun, 4_000)), None);
}

#[test]
fn server_without_requests_is_not_silent() {
    let begun = Instant::now();
    let mut liveness = LivenessTracker::default();
    liveness.begin(&id("a"), begun);
    liveness.record_contact(&id("b"), after(begun, 900));
    liveness.end(&id("a"));
    assert_eq!(liveness.silence(&id("a"), after(begun, 1_000)), None);
    liveness.begin(&id("a"), after(begun, 1_000));
    assert_eq!(liveness.silence(&id("a"), after(begun, 1_010)), Some(Duration::from_millis(10)));
}

#[test]
fn lone_server_is_never_silent() {
    let begun = Instant::now();
    let mut liveness = LivenessTracker::default();
    liveness.begin(&id("a"), begun);
    liveness.record_contact(&id("a"), after(begun, 10));
    assert_eq!(liveness.silence(&id("a"), after(begun, 100)), None);
}

#[test]
fn uniformly_slow_servers_are_not_silent() {
    let begun = Instant::now();
    let mut liveness = LivenessTracker::default();
    for name in ["a", "b", "c", "d", "e"] {
        liveness.begin(&id(name), begun);
    }
    // Each server answers once in 600 ms, in turn, and one never does.
    for (number, name) in ["b", "c", "d", "e"].into_iter().enumerate() {
        liveness.record_contact(&id(name), after(begun, 1_000 + 150 * number as u64));
    }
    let now = after(begun, 1_500);
    let threshold = liveness.silence_threshold(now);
    assert!(threshold > Duration::from_millis(600), "{threshold:?}");
    assert!(liveness.silence(&id("b"), now).unwrap() < threshold);
    // The silent server still exceeds the threshold.
    let later = after(begun, 2_500);
    for name in ["b", "c", "d", "e"] {
        liveness.record_contact(&id(name), after(begun, 2_400));
    }
    assert!(liveness.silence(&id("a"), later).unwrap() > liveness.silence_threshold(later));
}

#[test]
fn two_servers_give_no_silence_threshold() {
    let begun = Instant::now();
    let mut liveness = LivenessTracker::default();
    liveness.begin(&id("a"), begun);
    liveness.begin(&id("b"), begun);
    assert_eq!(liveness.silence_threshold(after(begun, 900)), Duration::ZERO);
}

#[test]
fn failing_server_is_detected_and_recovers() {
    let begun = Instant::now();
    let mut rates = FailureRates::default();
    for index in 0..30u64 {
        let now = after(begun, index * 50);
        rates.record_answer(&id("grey"), index % 5 < 2, now);
        rates.record_answer(&id("good"), index % 30 == 0, now);
        rates.record_answer(&id("other"), false, now);
    }
    let now = after(begun, 1_500);
    assert!(rates.excess_failures(&id("grey"), now) > 0.25);
    assert!(rates.excess_failures(&id("good"), now) < 0.05);
    let later = after(begun, 30_000);
    assert!(rates.excess_failures(&id("grey"), later) < 0.05);
}

#[test]
fn uniform_failures_single_out_no_server() {
    let begun = Instant::now();
    let mut rates = FailureRates::default();
    for index in 0..60u64 {
        for name in ["a", "b", "c"] {
            rates.record_answer(&id(name), index % 2 == 0, after(begun, index * 20));
        }
    }
    for name in ["a", "b", "c"] {
        assert!(rates.excess_failures(&id(name), after(begun, 1_200)) < 0.05);
    }
}
