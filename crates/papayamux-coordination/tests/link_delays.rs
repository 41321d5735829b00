//! Detection of links that lose packets, as distinct from servers that pause.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::link_delays::{DelayDetector, EventTiming, LinkDelays};
use papayamux_state::ids::FailureDomain;

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

/// Returns the timings of events that arrive at these milliseconds of a stream.
fn timings(arrivals: &[u64]) -> Vec<EventTiming> {
    let started_at = Instant::now();
    let mut detector = DelayDetector::new(started_at);
    let arrivals = arrivals.iter().map(|millis| started_at + Duration::from_millis(*millis));
    arrivals.map(|now| detector.record(1, now)).collect()
}

#[test]
fn batched_events_after_a_pause_are_delayed() {
    use EventTiming::{Delayed, OnTime, Undecided};
    assert_eq!(
        timings(&[20, 40, 230, 231, 232, 252]),
        [OnTime, OnTime, Undecided, Undecided, Delayed, OnTime]
    );
    let now = Instant::now();
    let mut detector = DelayDetector::new(now);
    assert_eq!(detector.record(8, now + Duration::from_millis(210)), Delayed);
}

#[test]
fn pausing_server_is_not_mistaken_for_a_lossy_link() {
    use EventTiming::{OnTime, Undecided};
    // The engine prefilled a long prompt for 170 ms and continued at its usual rate.
    assert_eq!(timings(&[20, 190, 210, 230]), [OnTime, Undecided, OnTime, OnTime]);
    // Two events in one step, but no pause.
    assert_eq!(timings(&[20, 21, 40, 41, 42]), [OnTime; 5]);
}

/// Records `events` events from a domain, every `every`th of them delayed.
fn record_events(delays: &mut LinkDelays, name: &str, events: u32, every: u32, now: Instant) {
    for number in 1..=events {
        delays.record(&domain(name), number % every == 0, now);
    }
}

#[test]
fn lossy_link_is_detected_within_tenths_of_a_second() {
    let now = Instant::now();
    let mut delays = LinkDelays::default();
    record_events(&mut delays, "lossy", 100, 30, now);
    record_events(&mut delays, "sound", 100, 1_000, now);
    assert!(delays.excess(&domain("lossy"), now) > 0.005);
    assert_eq!(delays.excess(&domain("sound"), now), 0.0);
    assert_eq!(delays.excess(&domain("unknown"), now), 0.0);
}

#[test]
fn router_behind_a_lossy_link_finds_its_own_domain_the_best() {
    let now = Instant::now();
    let mut delays = LinkDelays::default();
    record_events(&mut delays, "own", 400, 1_000, now);
    record_events(&mut delays, "one", 400, 30, now);
    record_events(&mut delays, "other", 400, 25, now);
    assert_eq!(delays.excess(&domain("own"), now), 0.0);
    assert!(delays.excess(&domain("one"), now) > 0.01);
    assert!(delays.excess(&domain("other"), now) > 0.01);
}

#[test]
fn uniform_delays_blame_no_link() {
    // The router itself paused now and then.
    let now = Instant::now();
    let mut delays = LinkDelays::default();
    for (name, every) in [("one", 20), ("two", 30), ("three", 50)] {
        record_events(&mut delays, name, 800, every, now);
    }
    for name in ["one", "two", "three"] {
        assert_eq!(delays.excess(&domain(name), now), 0.0, "{name}");
    }
}

#[test]
fn single_delay_is_ignored_and_an_avoided_link_is_retried() {
    let now = Instant::now();
    let mut delays = LinkDelays::default();
    record_events(&mut delays, "sound", 400, 1_000, now);
    delays.record(&domain("quiet"), true, now);
    assert_eq!(delays.excess(&domain("quiet"), now), 0.0);
    record_events(&mut delays, "lossy", 400, 30, now);
    assert!(delays.excess(&domain("lossy"), now + Duration::from_secs(2)) > 0.01);
    assert_eq!(delays.excess(&domain("lossy"), now + Duration::from_secs(15)), 0.0);
}

#[test]
fn changes_are_reported_once() {
    let now = Instant::now();
    let mut delays = LinkDelays::default();
    record_events(&mut delays, "sound", 400, 1_000, now);
    record_events(&mut delays, "lossy", 400, 30, now);
    let changes = delays.changes(now);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].excess > 0.0);
    assert!(delays.changes(now).is_empty());
    let later = now + Duration::from_secs(15);
    assert_eq!(delays.changes(later)[0].excess, 0.0);
}
