//! Requests under which servers end are kept from the others, and only those.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::{CrashQuarantine, NoticeOrigin};
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::ids::ServerId;
use papayamux_state::request_fingerprint::RequestFingerprint;

const FATAL: RequestFingerprint = RequestFingerprint(1);

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// Sends the request, under which its server ends.
fn crash(quarantine: &mut CrashQuarantine, now: Instant) {
    let sent = quarantine.begin_attempt(FATAL, now);
    quarantine.note_crash(FATAL, sent, 0.0, now);
}

#[test]
fn second_crash_in_a_row_holds_the_request() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    assert_eq!(quarantine.hold_left(FATAL, now), None);
    crash(&mut quarantine, now);
    assert_eq!(quarantine.hold_left(FATAL, now), None, "it may go elsewhere once");
    crash(&mut quarantine, now);
    assert_eq!(quarantine.hold_left(FATAL, now), Some(seconds(30)));
    assert_eq!(quarantine.hold_left(RequestFingerprint(2), now), None);
}

#[test]
fn servers_that_end_at_the_same_time_count_as_one() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    let sent = [0; 5].map(|_| quarantine.begin_attempt(FATAL, now));
    let noted = sent.map(|record| quarantine.note_crash(FATAL, record, 0.0, now).is_some());
    assert_eq!(noted, [true, false, false, false, false]);
    assert_eq!(quarantine.hold_left(FATAL, now), None);
}

#[test]
fn whole_run_clears_the_request_also_of_what_is_still_told() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    crash(&mut quarantine, now);
    let before = quarantine.begin_attempt(FATAL, now);
    assert!(quarantine.note_run(FATAL, CrashRecord::default(), now));
    assert!(!quarantine.note_run(FATAL, CrashRecord::default(), now), "nothing is left to clear");
    assert_eq!(quarantine.note_crash(FATAL, before, 0.0, now), None, "sent before it was cleared");
    let record = CrashRecord { cleared: 0, crashes: 2 };
    let stale = CrashNotice { fingerprint: FATAL, record, held: seconds(30) };
    assert!(!quarantine.take_notice(stale, 0.0, now));
    assert_eq!(quarantine.hold_left(FATAL, now), None);
}

#[test]
fn requests_that_are_often_served_are_never_held_while_servers_flap() {
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    for second in 0..60 {
        let now = start + seconds(second);
        let lost = quarantine.begin_attempt(FATAL, now);
        let served = quarantine.begin_attempt(FATAL, now);
        quarantine.note_crash(FATAL, lost, 0.0, now);
        assert_eq!(served, lost);
        quarantine.note_run(FATAL, CrashRecord::default(), now);
        assert_eq!(quarantine.hold_left(FATAL, now), None);
    }
}

#[test]
fn one_request_tries_a_server_after_the_hold_and_a_crash_lengthens_it() {
    let (mut quarantine, mut now) = (CrashQuarantine::default(), Instant::now());
    crash(&mut quarantine, now);
    crash(&mut quarantine, now);
    for held in [30, 120, 480, 1_920, 3_600, 3_600] {
        assert_eq!(quarantine.hold_left(FATAL, now), Some(seconds(held)));
        now += seconds(held);
        assert_eq!(quarantine.hold_left(FATAL, now), None);
        let sent = quarantine.begin_attempt(FATAL, now);
        assert_eq!(quarantine.hold_left(FATAL, now), Some(seconds(30)), "one at a time");
        quarantine.note_crash(FATAL, sent, 0.0, now);
    }
}

#[test]
fn hold_of_another_router_is_taken_over_for_as_long_as_it_lasts() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    let record = CrashRecord { cleared: 0, crashes: 2 };
    let notice = |held| CrashNotice { fingerprint: FATAL, record, held: seconds(held) };
    assert!(quarantine.take_notice(notice(20), 0.5, now));
    assert!(!quarantine.take_notice(notice(30), 0.0, now), "known already");
    assert_eq!(quarantine.hold_left(FATAL, now), Some(seconds(30)), "20 s, half as long again");
    // It is told for the 20 s that all hold it, so that no router renews the hold of another one.
    assert_eq!(quarantine.next_held(4, now + seconds(5)), [notice(15)]);
    assert_eq!(quarantine.next_held(4, now + seconds(20)), []);
}

#[test]
fn hold_that_is_longer_than_any_is_cut() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    let record = CrashRecord { cleared: 0, crashes: 2 };
    let held = Duration::from_millis(u64::from(u32::MAX));
    assert!(quarantine.take_notice(CrashNotice { fingerprint: FATAL, record, held }, 0.0, now));
    assert_eq!(quarantine.hold_left(FATAL, now), Some(seconds(30)));
}

#[test]
fn others_are_told_of_the_worst_first_and_of_everything_once() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    for number in 1..=3 {
        let fingerprint = RequestFingerprint(number);
        for _ in 0..number {
            let sent = quarantine.begin_attempt(fingerprint, now);
            quarantine.note_crash(fingerprint, sent, 0.0, now);
        }
    }
    let mut told = |most| -> Vec<u64> {
        let notices = quarantine.next_untold(NoticeOrigin::Seen, most, now);
        notices.iter().map(|notice| notice.fingerprint.0).collect()
    };
    assert_eq!(told(2), [3, 2]);
    assert_eq!(told(2), [1]);
    assert_eq!(told(2), [0; 0]);
}

#[test]
fn records_are_bounded_and_those_with_the_fewest_crashes_go_first() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    crash(&mut quarantine, now);
    crash(&mut quarantine, now);
    for number in 2..5_000 {
        let fingerprint = RequestFingerprint(number);
        let sent = quarantine.begin_attempt(fingerprint, now);
        quarantine.note_crash(fingerprint, sent, 0.0, now);
    }
    assert!(quarantine.hold_left(FATAL, now).is_some());
    assert_eq!(quarantine.next_untold(NoticeOrigin::Seen, usize::MAX, now).len(), 4_096);
    quarantine.forget_old(now + seconds(700));
    assert!(quarantine.is_empty());
}

fn server(number: u32) -> ServerId {
    format!("i-{number}").parse().unwrap()
}

/// Sends the request to a server, which ends under it.
fn crash_at(quarantine: &mut CrashQuarantine, number: u32, now: Instant) {
    let sent = quarantine.begin_attempt(FATAL, now);
    quarantine.note_end(&server(number), now);
    quarantine.note_crash(FATAL, sent, 0.0, now);
}

/// Callers of harmless requests were turned away that had been at two servers in a row which were killed,
/// one after the other or with all of their failure domain, by something else.
#[test]
fn request_is_not_held_for_two_ends_where_other_servers_end_without_it() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    for number in 0..4 {
        quarantine.note_end(&server(number), now);
    }
    crash_at(&mut quarantine, 0, now);
    crash_at(&mut quarantine, 4, now + seconds(1));
    assert_eq!(quarantine.hold_left(FATAL, now + seconds(1)), None);
    let told = quarantine.next_untold(NoticeOrigin::Seen, 8, now + seconds(1));
    assert_eq!(told[0].held, Duration::ZERO, "nor is any other router told to hold it");
    crash_at(&mut quarantine, 5, now + seconds(2));
    assert_eq!(
        quarantine.hold_left(FATAL, now + seconds(2)),
        Some(seconds(120)),
        "a third is enough"
    );
}

#[test]
fn request_is_held_for_two_ends_that_are_all_its_own() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    quarantine.note_end(&server(9), now);
    let now = now + seconds(30);
    crash_at(&mut quarantine, 0, now);
    // The same end is noticed by each request that was there.
    quarantine.note_end(&server(0), now);
    crash_at(&mut quarantine, 1, now);
    assert_eq!(quarantine.hold_left(FATAL, now), Some(seconds(30)), "the end before is long ago");
}
