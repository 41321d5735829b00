//! From which departed servers cached prompt parts can still be copied.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod backend_servers;

use std::time::{Duration, Instant};

use backend_servers::server;
use papayamux_coordination::recent_departures::{DepartureBounds, RecentDepartures};
use papayamux_state::backend::ServerPhase;

const BOUNDS: DepartureBounds = DepartureBounds {
    renewal_interval: Duration::from_millis(1_200),
    termination_grace: Duration::from_millis(2_000),
};

fn terminating(departures: &RecentDepartures, now: Instant) -> Vec<String> {
    let servers = departures.of_service(&"llm".parse().unwrap(), now);
    assert!(servers.iter().all(|server| server.phase == ServerPhase::Draining));
    servers.iter().map(|server| server.id.to_string()).collect()
}

#[test]
fn departed_server_is_a_copy_source_until_its_grace_ends() {
    let started_at = Instant::now();
    let mut departures = RecentDepartures::new(BOUNDS);
    departures.record_renewal(&"i-1".parse().unwrap(), started_at);
    let departed_at = started_at + Duration::from_millis(1_900);
    assert!(departures.record_departure(&server("i-1", ServerPhase::Serving), departed_at));
    assert_eq!(terminating(&departures, departed_at + Duration::from_millis(1_999)), ["i-1"]);
    let finished = departed_at + BOUNDS.termination_grace;
    assert!(terminating(&departures, finished).is_empty());
    assert_eq!(departures.expire(finished), ["i-1".parse().unwrap()]);
}

#[test]
fn crashed_server_is_no_copy_source() {
    let started_at = Instant::now();
    let mut departures = RecentDepartures::new(BOUNDS);
    departures.record_renewal(&"i-1".parse().unwrap(), started_at);
    let expired_at = started_at + BOUNDS.renewal_interval * 3;
    assert!(!departures.record_departure(&server("i-1", ServerPhase::Serving), expired_at));
    assert!(terminating(&departures, expired_at).is_empty());
    assert!(!departures.record_departure(&server("i-unknown", ServerPhase::Serving), expired_at));
}

#[test]
fn drained_server_is_no_copy_source() {
    let started_at = Instant::now();
    let mut departures = RecentDepartures::new(BOUNDS);
    departures.record_renewal(&"i-1".parse().unwrap(), started_at);
    let drained = server("i-1", ServerPhase::Draining);
    assert!(!departures.record_departure(&drained, started_at));
}

#[test]
fn renewed_server_is_not_departed() {
    let started_at = Instant::now();
    let mut departures = RecentDepartures::new(BOUNDS);
    let id = "i-1".parse().unwrap();
    departures.record_renewal(&id, started_at);
    departures.record_departure(&server("i-1", ServerPhase::Serving), started_at);
    departures.record_renewal(&id, started_at);
    assert!(terminating(&departures, started_at).is_empty());
}
