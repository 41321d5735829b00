//! Detection of retries by the deadlines that callers set.

use std::time::Duration;

use papayamux_coordination::usual_deadline::UsualDeadline;

const USUAL: Duration = Duration::from_secs(15);

fn learned_deadline() -> UsualDeadline {
    let mut deadlines = UsualDeadline::default();
    for _ in 0..50 {
        assert_eq!(deadlines.record(USUAL), Duration::ZERO);
    }
    deadlines
}

#[test]
fn shorter_deadline_shows_the_time_since_the_first_attempt() {
    let mut deadlines = learned_deadline();
    assert_eq!(deadlines.record(USUAL - Duration::from_secs(4)), Duration::from_secs(4));
    assert_eq!(deadlines.record(USUAL - Duration::from_millis(5)), Duration::ZERO);
    assert_eq!(deadlines.record(USUAL * 3), Duration::ZERO);
}

#[test]
fn few_requests_give_no_usual_deadline() {
    let mut deadlines = UsualDeadline::default();
    deadlines.record(USUAL);
    assert_eq!(deadlines.record(Duration::from_secs(1)), Duration::ZERO);
}

#[test]
fn usual_deadline_survives_many_retries() {
    let mut deadlines = learned_deadline();
    for number in 1..400u64 {
        deadlines.record(USUAL);
        deadlines.record(USUAL - Duration::from_millis(number * 30));
    }
    assert_eq!(deadlines.usual(), Some(USUAL));
}

#[test]
fn changed_deadline_is_learned() {
    let mut deadlines = learned_deadline();
    for _ in 0..2_000 {
        deadlines.record(Duration::from_secs(5));
    }
    assert_eq!(deadlines.record(Duration::from_secs(5)), Duration::ZERO);
    assert_eq!(deadlines.usual(), Some(Duration::from_secs(5)));
}
