//! Callers that are turned away come back in time, and not all at once.

use std::time::Duration;

use papayamux_coordination::return_time::return_time;

#[test]
fn patient_callers_outlast_a_restart_of_all_servers() {
    assert!(return_time(Duration::from_secs(15), 0.0) >= Duration::from_millis(2_500));
    assert!(return_time(Duration::from_secs(15), 0.999) <= Duration::from_secs(5));
}

#[test]
fn no_pause_is_over_a_third_of_the_time_left() {
    for left in [200, 600, 1_500, 3_000, 15_000] {
        let left = Duration::from_millis(left);
        for draw in [0.0, 0.5, 0.999] {
            assert!(return_time(left, draw) <= left / 3, "{left:?}");
        }
    }
}

#[test]
fn returns_are_spread() {
    let pauses: Vec<_> = (0..100)
        .map(|index| return_time(Duration::from_secs(3), f64::from(index) / 100.0))
        .collect();
    let (first, last) = (pauses[0], pauses[99]);
    assert!(last - first > Duration::from_millis(300), "{first:?} to {last:?}");
}
