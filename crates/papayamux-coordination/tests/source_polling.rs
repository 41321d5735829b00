//! The source is read often enough for every bound, and no more often.

use std::time::Duration;

use papayamux_coordination::key_freshness::max_key_age;
use papayamux_coordination::source_polling::{PollSchedule, ReadBounds};

fn seconds(seconds: f64) -> Option<Duration> {
    Some(Duration::from_secs_f64(seconds))
}

#[test]
fn interval_follows_the_shortest_bound() {
    let bounds = ReadBounds {
        apply_within: seconds(2.0),
        drain_within: seconds(3.0),
        evacuate_within: seconds(5.0),
        key_age: seconds(3.8),
    };
    assert_eq!(bounds.interval(), Duration::from_secs(1));
    let strict = ReadBounds { key_age: seconds(0.6), ..bounds };
    assert_eq!(strict.interval(), Duration::from_millis(200));
    assert_eq!(ReadBounds::default().interval(), Duration::from_millis(1_500));
}

#[test]
fn two_intervals_fit_within_the_key_age_under_every_bound() {
    for millis in [500, 1_000, 2_000, 5_000, 60_000] {
        let age = max_key_age(Duration::from_millis(millis));
        let bounds = ReadBounds { key_age: Some(age), ..ReadBounds::default() };
        assert!(bounds.interval() * 2 < age, "{millis}");
        assert!(age < Duration::from_millis(millis));
    }
}

#[test]
fn unavailable_source_is_retried_at_least_every_half_second() {
    let mut schedule = PollSchedule::new(ReadBounds::default());
    assert!(schedule.record_failure(), "the first failure in a row is reported");
    assert!(!schedule.record_failure());
    for _ in 0..100 {
        schedule.record_failure();
        assert!(schedule.pause(false, 0.0) <= Duration::from_millis(500));
    }
    assert!(schedule.record_success());
    assert!(!schedule.record_success());
    assert!(schedule.pause(false, 0.0) > schedule.pause(false, 0.9));
    assert!(schedule.pause(true, 0.0) < Duration::from_millis(400), "renewals are noticed early");
}
