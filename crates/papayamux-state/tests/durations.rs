//! Durations from outside stay within what clocks and timers can represent.

use std::time::{Duration, Instant};

use papayamux_state::durations::{
    duration_from_millis, duration_from_secs, saturating_after, saturating_millis, saturating_secs,
    MAX_DURATION,
};

#[test]
fn durations_up_to_a_century_are_read() {
    assert_eq!(duration_from_millis(1.5), Ok(Duration::from_micros(1_500)));
    assert_eq!(duration_from_secs(7.5), Ok(Duration::from_millis(7_500)));
    assert_eq!(duration_from_secs(MAX_DURATION.as_secs_f64()), Ok(MAX_DURATION));
    for seconds in [-0.001, 1e10, 1e22, f64::INFINITY, f64::NEG_INFINITY, f64::NAN] {
        assert!(duration_from_secs(seconds).is_err(), "{seconds}");
    }
}

#[test]
fn computed_durations_are_limited() {
    assert_eq!(saturating_millis(250.0), Duration::from_millis(250));
    for seconds in [-1.0, f64::NEG_INFINITY, f64::MIN] {
        assert_eq!(saturating_secs(seconds), Duration::ZERO, "{seconds}");
    }
    for seconds in [1e10, f64::MAX, f64::INFINITY, f64::NAN] {
        assert_eq!(saturating_secs(seconds), MAX_DURATION, "{seconds}");
    }
}

#[test]
fn points_in_time_are_limited() {
    let now = Instant::now();
    assert_eq!(saturating_after(now, Duration::MAX), now + MAX_DURATION);
    assert_eq!(saturating_after(now, Duration::from_secs(2)), now + Duration::from_secs(2));
}
