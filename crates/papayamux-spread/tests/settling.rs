//! When a process that has started may serve.

use std::time::Duration;

use papayamux_spread::settling::SettlingFacts;

const ASK_WITHIN: Duration = Duration::from_secs(10);

const NOTHING: SettlingFacts = SettlingFacts {
    asked_for: Duration::ZERO,
    has_peers: true,
    heard: 0,
    agreed: 0,
    disagreed: 0,
    has_reading: false,
    holds_files: false,
    fetches: false,
};

fn after(seconds: u64, facts: SettlingFacts) -> bool {
    SettlingFacts { asked_for: Duration::from_secs(seconds), ..facts }.is_settled(ASK_WITHIN)
}

#[test]
fn several_peers_that_agree_settle_at_once_and_one_after_a_while() {
    assert!(after(0, SettlingFacts { agreed: 2, ..NOTHING }));
    assert!(!after(0, SettlingFacts { agreed: 1, ..NOTHING }));
    assert!(after(2, SettlingFacts { agreed: 1, ..NOTHING }));
}

#[test]
fn a_reading_of_its_own_does_not_settle_against_peers() {
    let read = SettlingFacts { has_reading: true, holds_files: true, ..NOTHING };
    assert!(!after(5, SettlingFacts { heard: 1, disagreed: 1, ..read }));
    assert!(!after(5, SettlingFacts { heard: 1, fetches: true, ..read }));
    assert!(after(5, SettlingFacts { heard: 1, ..read }));
    assert!(!after(5, read), "peers that are not heard yet are waited for");
    assert!(after(0, SettlingFacts { has_peers: false, ..read }));
}

#[test]
fn the_bound_settles_with_something_but_never_with_nothing() {
    assert!(!after(60, NOTHING));
    assert!(after(10, SettlingFacts { holds_files: true, disagreed: 1, ..NOTHING }));
}
