//! When a process that has started may serve.

use std::time::Duration;

use papayamux_spread::settling::SettlingFacts;

const ASK_WITHIN: Duration = Duration::from_secs(10);

const NOTHING: SettlingFacts = SettlingFacts {
    query_time: Duration::ZERO,
    has_peers: true,
    responded: 0,
    agreed: 0,
    disagreed: 0,
    has_read_service: false,
    holds_files: false,
    is_fetching: false,
};

fn settled_after(seconds: u64, facts: SettlingFacts) -> bool {
    SettlingFacts { query_time: Duration::from_secs(seconds), ..facts }.is_settled(ASK_WITHIN)
}

#[test]
fn two_agreeing_peers_settle_immediately_and_one_after_timeout() {
    assert!(settled_after(0, SettlingFacts { agreed: 2, ..NOTHING }));
    assert!(!settled_after(0, SettlingFacts { agreed: 1, ..NOTHING }));
    assert!(settled_after(2, SettlingFacts { agreed: 1, ..NOTHING }));
}

#[test]
fn service_read_does_not_settle_against_disagreeing_peers() {
    let read = SettlingFacts { has_read_service: true, holds_files: true, ..NOTHING };
    assert!(!settled_after(5, SettlingFacts { responded: 1, disagreed: 1, ..read }));
    assert!(!settled_after(5, SettlingFacts { responded: 1, is_fetching: true, ..read }));
    assert!(settled_after(5, SettlingFacts { responded: 1, ..read }));
    assert!(!settled_after(5, read), "must wait for peers that have not responded");
    assert!(settled_after(0, SettlingFacts { has_peers: false, ..read }));
}

#[test]
fn timeout_settles_only_with_a_configuration() {
    assert!(!settled_after(60, NOTHING));
    assert!(settled_after(10, SettlingFacts { holds_files: true, disagreed: 1, ..NOTHING }));
}
