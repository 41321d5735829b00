//! What counts of what servers say of themselves.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::server_notices::NoticeBook;
use papayamux_state::backend::ServerNotice;
use papayamux_state::ids::ServerId;

fn rest(millis: u64) -> ServerNotice {
    ServerNotice { rest: Some(Duration::from_millis(millis)), ..ServerNotice::default() }
}

fn id(name: &str) -> ServerId {
    name.parse().unwrap()
}

#[test]
fn rest_that_ends_last_counts() {
    let (mut book, now) = (NoticeBook::default(), Instant::now());
    book.note(&id("a"), rest(3_000), now);
    let later = now + Duration::from_millis(500);
    book.note(&id("a"), rest(100), later);
    book.note(&id("a"), ServerNotice::default(), later);
    assert_eq!(book.rest_left(&id("a"), later), Some(Duration::from_millis(2_500)));
    book.note(&id("a"), rest(4_000), later);
    assert_eq!(book.rest_left(&id("a"), later), Some(Duration::from_millis(4_000)));
    assert_eq!(book.rest_left(&id("a"), later + Duration::from_millis(4_000)), None);
    assert_eq!(book.rest_left(&id("b"), later), None, "another start knows nothing of it");
}

#[test]
fn absurd_rest_ends() {
    let (mut book, now) = (NoticeBook::default(), Instant::now());
    let absurd = ServerNotice { rest: Some(Duration::MAX), ..ServerNotice::default() };
    book.note(&id("a"), absurd, now);
    let left = book.rest_left(&id("a"), now).unwrap();
    assert!(left >= Duration::from_secs(60) && left <= Duration::from_secs(600), "{left:?}");
}

#[test]
fn rests_that_are_over_are_forgotten_before_any_other() {
    let (mut book, now) = (NoticeBook::default(), Instant::now());
    book.note(&id("long"), rest(60_000), now);
    for number in 0..10_000 {
        book.note(&id(&format!("short-{number}")), rest(1), now);
        let later = now + Duration::from_millis(2);
        assert!(book.rest_left(&id("long"), later).is_some(), "{number}");
    }
}

#[test]
fn leaving_lasts_whatever_is_said_later() {
    let (mut book, now) = (NoticeBook::default(), Instant::now());
    let leaving = ServerNotice { leaves: true, rest: None };
    book.note(&id("a"), leaving, now);
    book.note(&id("a"), ServerNotice::default(), now + Duration::from_secs(60));
    assert!(book.leaves(&id("a")));
    assert!(!book.leaves(&id("b")), "another start stays");
    // Those that have been leaving for longest are forgotten first.
    for number in 0..5_000 {
        book.note(&id(&format!("later-{number}")), leaving, now + Duration::from_secs(61));
    }
    assert!(!book.leaves(&id("a")));
    assert!(book.leaves(&id("later-4999")));
}
