//! Refused callers retry within their deadline, and not all at once.

use std::time::Duration;

use papayamux_coordination::retry_delay::retry_delay;

#[test]
fn long_deadlines_outlast_a_restart_of_all_servers() {
    assert!(retry_delay(Duration::from_secs(15), 0.0) >= Duration::from_millis(2_500));
    assert!(retry_delay(Duration::from_secs(15), 0.999) <= Duration::from_secs(5));
}

#[test]
fn no_delay_exceeds_a_third_of_the_time_left() {
    for left in [200, 600, 1_500, 3_000, 15_000] {
        let left = Duration::from_millis(left);
        for jitter in [0.0, 0.5, 0.999] {
            assert!(retry_delay(left, jitter) <= left / 3, "{left:?}");
        }
    }
}

#[test]
fn delays_are_spread() {
    let delays: Vec<_> = (0..100)
        .map(|index| retry_delay(Duration::from_secs(3), f64::from(index) / 100.0))
        .collect();
    let (first, last) = (delays[0], delays[99]);
    assert!(last - first > Duration::from_millis(300), "{first:?} to {last:?}");
}
