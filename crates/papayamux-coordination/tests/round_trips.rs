//! Round trips to servers, learned from new connections.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::Duration;

use papayamux_coordination::round_trips::RoundTrips;
use papayamux_state::ids::FailureDomain;

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

/// All requests go to the nearest of several idle servers, so that the others open no connection that would
/// correct their estimate.
#[test]
fn single_slow_connection_moves_no_failure_domain_away() {
    let mut trips = RoundTrips::new(domain("here"));
    trips.record(&domain("there"), Duration::from_millis(12));
    assert_eq!(trips.median_ms(&domain("there")), trips.median_ms(&domain("elsewhere")));
    (0..8).for_each(|_| trips.record(&domain("there"), Duration::from_millis(12)));
    assert!(trips.median_ms(&domain("there")) > 2.0 * trips.median_ms(&domain("elsewhere")));
}

#[test]
fn other_region_is_distinguished_from_other_failure_domain() {
    let mut trips = RoundTrips::new(domain("here"));
    assert!(trips.median_ms(&domain("here")) < trips.median_ms(&domain("there")));
    for number in 0..24 {
        // One in eight loses a packet or meets a busy server.
        let delayed = if number % 8 == 7 { 200 } else { 0 };
        trips.record(&domain("there"), Duration::from_millis(3 + delayed));
        trips.record(&domain("far"), Duration::from_millis(25 + delayed));
    }
    let (there, far) = (trips.median_ms(&domain("there")), trips.median_ms(&domain("far")));
    assert!((2.5..4.0).contains(&there), "{there}");
    assert!((22.0..30.0).contains(&far), "{far}");
}
