//! Who comes back, by the deadlines that callers set.

use std::time::Duration;

use papayamux_coordination::usual_deadline::UsualDeadline;

const USUAL: Duration = Duration::from_secs(15);

fn known() -> UsualDeadline {
    let mut deadlines = UsualDeadline::default();
    for _ in 0..50 {
        assert_eq!(deadlines.note(USUAL), Duration::ZERO);
    }
    deadlines
}

#[test]
fn a_shorter_deadline_tells_how_long_ago_the_caller_asked() {
    let mut deadlines = known();
    assert_eq!(deadlines.note(USUAL - Duration::from_secs(4)), Duration::from_secs(4));
    assert_eq!(deadlines.note(USUAL - Duration::from_millis(5)), Duration::ZERO);
    assert_eq!(deadlines.note(USUAL * 3), Duration::ZERO);
}

#[test]
fn nothing_is_concluded_from_a_few_requests() {
    let mut deadlines = UsualDeadline::default();
    deadlines.note(USUAL);
    assert_eq!(deadlines.note(Duration::from_secs(1)), Duration::ZERO);
}

#[test]
fn the_usual_deadline_stays_known_while_many_come_back() {
    let mut deadlines = known();
    for number in 1..400u64 {
        deadlines.note(USUAL);
        deadlines.note(USUAL - Duration::from_millis(number * 30));
    }
    assert_eq!(deadlines.usual(), Some(USUAL));
}

#[test]
fn a_changed_deadline_is_learnt() {
    let mut deadlines = known();
    for _ in 0..2_000 {
        deadlines.note(Duration::from_secs(5));
    }
    assert_eq!(deadlines.note(Duration::from_secs(5)), Duration::ZERO);
    assert_eq!(deadlines.usual(), Some(Duration::from_secs(5)));
}
