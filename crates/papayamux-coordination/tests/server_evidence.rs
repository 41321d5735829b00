//! Ejection of failed servers, and their return.

use std::time::{Duration, Instant};

use papayamux_coordination::server_evidence::{EvidenceKind, EvidenceTracker, ServerStanding};
use papayamux_state::ids::{IdError, ServerId};

/// Returns the duration of the ejection after a failure at `now`.
fn ejection_after(tracker: &mut EvidenceTracker, server: &ServerId, now: Instant) -> Duration {
    tracker.record(server, EvidenceKind::Unreachable, now);
    let step = Duration::from_millis(50);
    let is_ejected =
        |after: u32| tracker.standing(server, now + step * after) == ServerStanding::Ejected;
    step * (0..10_000).take_while(|after| is_ejected(*after)).count() as u32
}

#[test]
fn flapping_server_is_ejected_longer_each_time() -> Result<(), IdError> {
    let (mut tracker, server) = (EvidenceTracker::default(), "engine-1".parse()?);
    let mut now = Instant::now();
    let mut ejections = Vec::new();
    for _ in 0..8 {
        let ejection = ejection_after(&mut tracker, &server, now);
        now += ejection;
        assert_eq!(tracker.standing(&server, now), ServerStanding::HalfOpen);
        tracker.record_answer(&server, now);
        assert_eq!(tracker.standing(&server, now), ServerStanding::Good);
        now += Duration::from_millis(100);
        ejections.push(ejection);
    }
    assert!(ejections.windows(2).all(|pair| pair[0] <= pair[1]), "{ejections:?}");
    assert!(ejections[5] >= ejections[0] * 16, "{ejections:?}");
    let much_later = now + Duration::from_secs(600);
    assert!(
        ejection_after(&mut tracker, &server, much_later) < ejections[1],
        "past failures decay"
    );
    Ok(())
}

#[test]
fn half_open_server_gets_one_request_at_a_time() -> Result<(), IdError> {
    let (mut tracker, server) = (EvidenceTracker::default(), "engine-1".parse()?);
    let now = Instant::now();
    tracker.record(&server, EvidenceKind::ServerDown, now);
    let later = now + Duration::from_secs(1);
    assert_eq!(tracker.standing(&server, later), ServerStanding::HalfOpen);
    tracker.begin_trial(&server, later);
    assert_eq!(tracker.standing(&server, later), ServerStanding::Ejected);
    assert_eq!(tracker.standing(&server, later + Duration::from_secs(2)), ServerStanding::HalfOpen);
    Ok(())
}

#[test]
fn one_unanswered_probe_ejects_no_server() -> Result<(), IdError> {
    let (mut tracker, server) = (EvidenceTracker::default(), "engine-1".parse()?);
    let now = Instant::now();
    tracker.record(&server, EvidenceKind::Silent, now);
    assert_eq!(tracker.standing(&server, now), ServerStanding::Good);
    tracker.record_answer(&server, now);
    tracker.record(&server, EvidenceKind::Silent, now);
    assert_eq!(tracker.standing(&server, now), ServerStanding::Good);
    tracker.record(&server, EvidenceKind::Silent, now);
    assert_eq!(tracker.standing(&server, now), ServerStanding::Ejected);
    Ok(())
}
