//! From which servers prompts can still be copied after their entries are gone.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

mod backend_servers;

use std::time::{Duration, Instant};

use backend_servers::server;
use papayamux_coordination::recent_departures::{DepartureBounds, RecentDepartures};
use papayamux_state::backend::ServerPhase;

const BOUNDS: DepartureBounds =
    DepartureBounds { renewal: Duration::from_millis(1_200), linger: Duration::from_millis(2_000) };

fn lingering(departures: &RecentDepartures, now: Instant) -> Vec<String> {
    let servers = departures.of_service(&"llm".parse().unwrap(), now);
    assert!(servers.iter().all(|server| server.phase == ServerPhase::Draining));
    servers.iter().map(|server| server.id.to_string()).collect()
}

#[test]
fn server_that_left_without_a_notice_can_be_copied_from_until_it_ends() {
    let begun = Instant::now();
    let mut departures = RecentDepartures::new(BOUNDS);
    departures.note_renewal(&"i-1".parse().unwrap(), begun);
    let left = begun + Duration::from_millis(1_900);
    assert!(departures.note_departure(&server("i-1", ServerPhase::Serving), left));
    assert_eq!(lingering(&departures, left + Duration::from_millis(1_999)), ["i-1"]);
    let ended = left + BOUNDS.linger;
    assert!(lingering(&departures, ended).is_empty());
    assert_eq!(departures.expire(ended), ["i-1".parse().unwrap()]);
}

#[test]
fn server_that_crashed_cannot() {
    let begun = Instant::now();
    let mut departures = RecentDepartures::new(BOUNDS);
    departures.note_renewal(&"i-1".parse().unwrap(), begun);
    let lapsed = begun + BOUNDS.renewal * 3;
    assert!(!departures.note_departure(&server("i-1", ServerPhase::Serving), lapsed));
    assert!(lingering(&departures, lapsed).is_empty());
    assert!(!departures.note_departure(&server("i-unknown", ServerPhase::Serving), lapsed));
}

#[test]
fn server_that_drained_has_ended() {
    let begun = Instant::now();
    let mut departures = RecentDepartures::new(BOUNDS);
    departures.note_renewal(&"i-1".parse().unwrap(), begun);
    let drained = server("i-1", ServerPhase::Draining);
    assert!(!departures.note_departure(&drained, begun));
}

#[test]
fn server_that_is_back_has_not_left() {
    let begun = Instant::now();
    let mut departures = RecentDepartures::new(BOUNDS);
    let id = "i-1".parse().unwrap();
    departures.note_renewal(&id, begun);
    departures.note_departure(&server("i-1", ServerPhase::Serving), begun);
    departures.note_renewal(&id, begun);
    assert!(lingering(&departures, begun).is_empty());
}
