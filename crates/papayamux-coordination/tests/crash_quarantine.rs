//! Tests that requests that crash servers are quarantined, and that no others are.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::{CrashQuarantine, NoticeOrigin};
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::crash_suspect::CrashSuspect;
use papayamux_state::ids::ServerId;
use papayamux_state::request_fingerprint::RequestFingerprint;

const FATAL: CrashSuspect = CrashSuspect::Content(RequestFingerprint(1));

/// Returns the number of a suspected content.
fn content(suspect: &CrashSuspect) -> u64 {
    match suspect {
        CrashSuspect::Content(fingerprint) => fingerprint.0,
        CrashSuspect::Part(part) => panic!("{part:?} is no content"),
    }
}

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// Sends the request and crashes its server.
fn crash(quarantine: &mut CrashQuarantine, now: Instant) {
    let sent = quarantine.begin_attempt(&FATAL, now);
    quarantine.record_crash(&FATAL, sent, 0.0, now);
}

#[test]
fn second_consecutive_crash_quarantines_the_request() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    assert_eq!(quarantine.quarantine_left(&FATAL, now), None);
    crash(&mut quarantine, now);
    assert_eq!(quarantine.quarantine_left(&FATAL, now), None, "one retry is allowed");
    crash(&mut quarantine, now);
    assert_eq!(quarantine.quarantine_left(&FATAL, now), Some(seconds(30)));
    assert_eq!(quarantine.quarantine_left(&RequestFingerprint(2).into(), now), None);
}

#[test]
fn simultaneous_crashes_count_as_one() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    let sent = [0; 5].map(|_| quarantine.begin_attempt(&FATAL, now));
    let recorded = sent.map(|record| quarantine.record_crash(&FATAL, record, 0.0, now).is_some());
    assert_eq!(recorded, [true, false, false, false, false]);
    assert_eq!(quarantine.quarantine_left(&FATAL, now), None);
}

#[test]
fn completed_run_clears_the_request_and_outdates_notices() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    crash(&mut quarantine, now);
    let before = quarantine.begin_attempt(&FATAL, now);
    assert!(quarantine.record_run(&FATAL, CrashRecord::default(), now));
    assert!(
        !quarantine.record_run(&FATAL, CrashRecord::default(), now),
        "nothing is left to clear"
    );
    assert_eq!(
        quarantine.record_crash(&FATAL, before, 0.0, now),
        None,
        "it was sent before the clearing run"
    );
    let record = CrashRecord { cleared: 0, crashes: 2 };
    let stale =
        CrashNotice { suspect: FATAL, record, quarantine_left: seconds(30), is_on_trial: false };
    assert!(!quarantine.receive_notice(stale, 0.0, now));
    assert_eq!(quarantine.quarantine_left(&FATAL, now), None);
}

#[test]
fn frequently_served_request_is_not_quarantined_while_servers_flap() {
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    for second in 0..60 {
        let now = start + seconds(second);
        let lost = quarantine.begin_attempt(&FATAL, now);
        let served = quarantine.begin_attempt(&FATAL, now);
        quarantine.record_crash(&FATAL, lost, 0.0, now);
        assert_eq!(served, lost);
        quarantine.record_run(&FATAL, CrashRecord::default(), now);
        assert_eq!(quarantine.quarantine_left(&FATAL, now), None);
    }
}

#[test]
fn one_trial_follows_the_quarantine_and_a_crash_extends_it() {
    let (mut quarantine, mut now) = (CrashQuarantine::default(), Instant::now());
    crash(&mut quarantine, now);
    crash(&mut quarantine, now);
    for quarantine_left in [30, 120, 480, 1_920, 3_600, 3_600] {
        assert_eq!(quarantine.quarantine_left(&FATAL, now), Some(seconds(quarantine_left)));
        now += seconds(quarantine_left);
        assert_eq!(quarantine.quarantine_left(&FATAL, now), None);
        let sent = quarantine.begin_attempt(&FATAL, now);
        assert_eq!(
            quarantine.quarantine_left(&FATAL, now),
            Some(seconds(30)),
            "one trial at a time"
        );
        quarantine.record_crash(&FATAL, sent, 0.0, now);
    }
}

#[test]
fn quarantine_of_another_router_is_adopted_for_its_remaining_time() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    let record = CrashRecord { cleared: 0, crashes: 2 };
    let notice = |quarantine_left| CrashNotice {
        suspect: FATAL,
        record,
        quarantine_left: seconds(quarantine_left),
        is_on_trial: false,
    };
    assert!(quarantine.receive_notice(notice(20), 0.5, now));
    assert!(!quarantine.receive_notice(notice(30), 0.0, now), "already known");
    assert_eq!(
        quarantine.quarantine_left(&FATAL, now),
        Some(seconds(30)),
        "20 s plus half of it as jitter"
    );
    // The notice covers the 20 s for which all routers apply the quarantine, so that no router
    // renews the quarantine of another.
    assert_eq!(quarantine.next_quarantined(4, now + seconds(5)), [notice(15)]);
    assert_eq!(quarantine.next_quarantined(4, now + seconds(20)), []);
}

#[test]
fn excessive_quarantine_is_capped() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    let record = CrashRecord { cleared: 0, crashes: 2 };
    let quarantine_left = Duration::from_millis(u64::from(u32::MAX));
    assert!(quarantine.receive_notice(
        CrashNotice { suspect: FATAL, record, quarantine_left, is_on_trial: false },
        0.0,
        now
    ));
    assert_eq!(quarantine.quarantine_left(&FATAL, now), Some(seconds(30)));
}

#[test]
fn notices_are_announced_once_with_the_most_crashes_first() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    for number in 1..=3 {
        let suspect = RequestFingerprint(number).into();
        for _ in 0..number {
            let sent = quarantine.begin_attempt(&suspect, now);
            quarantine.record_crash(&suspect, sent, 0.0, now);
        }
    }
    let mut announced = |limit| -> Vec<u64> {
        let notices = quarantine.next_unannounced(NoticeOrigin::Observed, limit, now);
        notices.iter().map(|notice| content(&notice.suspect)).collect()
    };
    assert_eq!(announced(2), [3, 2]);
    assert_eq!(announced(2), [1]);
    assert_eq!(announced(2), [0; 0]);
}

#[test]
fn records_are_bounded_and_the_fewest_crashes_are_evicted_first() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    crash(&mut quarantine, now);
    crash(&mut quarantine, now);
    for number in 2..5_000 {
        let suspect = RequestFingerprint(number).into();
        let sent = quarantine.begin_attempt(&suspect, now);
        quarantine.record_crash(&suspect, sent, 0.0, now);
    }
    assert!(quarantine.quarantine_left(&FATAL, now).is_some());
    assert_eq!(quarantine.next_unannounced(NoticeOrigin::Observed, usize::MAX, now).len(), 4_096);
    quarantine.forget_old(now + seconds(700));
    assert!(quarantine.is_empty());
}

fn server(number: u32) -> ServerId {
    format!("i-{number}").parse().unwrap()
}

/// Sends the request to a server and crashes it.
fn crash_at(quarantine: &mut CrashQuarantine, number: u32, now: Instant) {
    let sent = quarantine.begin_attempt(&FATAL, now);
    quarantine.record_server_crash(&server(number), now);
    quarantine.record_crash(&FATAL, sent, 0.0, now);
}

/// Guards against quarantining a harmless request because it ran on two servers in a row that
/// crashed for another reason, one after the other or together with their failure domain.
#[test]
fn two_crashes_do_not_quarantine_while_other_servers_crash() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    for number in 0..4 {
        quarantine.record_server_crash(&server(number), now);
    }
    crash_at(&mut quarantine, 0, now);
    crash_at(&mut quarantine, 4, now + seconds(1));
    assert_eq!(quarantine.quarantine_left(&FATAL, now + seconds(1)), None);
    let announced = quarantine.next_unannounced(NoticeOrigin::Observed, 8, now + seconds(1));
    assert_eq!(
        announced[0].quarantine_left,
        Duration::ZERO,
        "other routers are not asked to quarantine it either"
    );
    crash_at(&mut quarantine, 5, now + seconds(2));
    assert_eq!(
        quarantine.quarantine_left(&FATAL, now + seconds(2)),
        Some(seconds(120)),
        "a third crash quarantines it"
    );
}

#[test]
fn two_crashes_quarantine_when_no_other_server_crashes() {
    let (mut quarantine, now) = (CrashQuarantine::default(), Instant::now());
    quarantine.record_server_crash(&server(9), now);
    let now = now + seconds(30);
    crash_at(&mut quarantine, 0, now);
    // Each request that ran on the server records the same crash.
    quarantine.record_server_crash(&server(0), now);
    crash_at(&mut quarantine, 1, now);
    assert_eq!(
        quarantine.quarantine_left(&FATAL, now),
        Some(seconds(30)),
        "the earlier crash has expired"
    );
}
