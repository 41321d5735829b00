//! Which notices of servers are kept, and for how long.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::server_notices::NoticeTable;
use papayamux_state::backend::ServerNotice;
use papayamux_state::ids::ServerId;

fn backoff(millis: u64) -> ServerNotice {
    ServerNotice { backoff: Some(Duration::from_millis(millis)), ..ServerNotice::default() }
}

fn id(name: &str) -> ServerId {
    name.parse().unwrap()
}

#[test]
fn latest_backoff_end_counts() {
    let (mut table, now) = (NoticeTable::default(), Instant::now());
    table.record(&id("a"), backoff(3_000), now);
    let later = now + Duration::from_millis(500);
    table.record(&id("a"), backoff(100), later);
    table.record(&id("a"), ServerNotice::default(), later);
    assert_eq!(table.backoff_left(&id("a"), later), Some(Duration::from_millis(2_500)));
    table.record(&id("a"), backoff(4_000), later);
    assert_eq!(table.backoff_left(&id("a"), later), Some(Duration::from_millis(4_000)));
    assert_eq!(table.backoff_left(&id("a"), later + Duration::from_millis(4_000)), None);
    assert_eq!(table.backoff_left(&id("b"), later), None, "another start has no back-off");
}

#[test]
fn excessive_backoff_is_capped() {
    let (mut table, now) = (NoticeTable::default(), Instant::now());
    let excessive = ServerNotice { backoff: Some(Duration::MAX), ..ServerNotice::default() };
    table.record(&id("a"), excessive, now);
    let left = table.backoff_left(&id("a"), now).unwrap();
    assert!(left >= Duration::from_secs(60) && left <= Duration::from_secs(600), "{left:?}");
}

#[test]
fn elapsed_backoffs_are_evicted_first() {
    let (mut table, now) = (NoticeTable::default(), Instant::now());
    table.record(&id("long"), backoff(60_000), now);
    for number in 0..10_000 {
        table.record(&id(&format!("short-{number}")), backoff(1), now);
        let later = now + Duration::from_millis(2);
        assert!(table.backoff_left(&id("long"), later).is_some(), "{number}");
    }
}

#[test]
fn draining_persists_after_later_answers() {
    let (mut table, now) = (NoticeTable::default(), Instant::now());
    let draining = ServerNotice { is_draining: true, backoff: None };
    table.record(&id("a"), draining, now);
    table.record(&id("a"), ServerNotice::default(), now + Duration::from_secs(60));
    assert!(table.is_draining(&id("a")));
    assert!(!table.is_draining(&id("b")), "another start is not draining");
    // The servers that have been draining longest are evicted first.
    for number in 0..5_000 {
        table.record(&id(&format!("later-{number}")), draining, now + Duration::from_secs(61));
    }
    assert!(!table.is_draining(&id("a")));
    assert!(table.is_draining(&id("later-4999")));
}
