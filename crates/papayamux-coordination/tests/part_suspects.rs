//! Tests that parts of prompts that crash servers are quarantined, and that what their requests share with
//! sound ones is not.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::{CrashQuarantine, NoticeOrigin};
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::crash_suspect::{CrashSuspect, ServicePart};
use papayamux_state::prompt::PartId;
use papayamux_state::request_fingerprint::RequestFingerprint;

/// A part that crashes servers, and one that all requests have.
const CRASHING: u64 = 0xbad;
const SHARED: u64 = 0xa;

fn part(number: u64) -> CrashSuspect {
    CrashSuspect::Part(ServicePart { service: "llm".parse().unwrap(), part: PartId(number) })
}

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// Returns the quarantine of a router that has served requests with the shared part for a while.
fn running_router(start: Instant) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::default();
    serve(&mut quarantine, SHARED, start);
    quarantine
}

fn serve(quarantine: &mut CrashQuarantine, number: u64, now: Instant) {
    let sent = quarantine.begin_attempt(&part(number), now);
    quarantine.record_served_parts(&"llm".parse().unwrap(), [PartId(number)].into_iter(), now);
    quarantine.record_run(&part(number), sent, now);
}

/// Crashes a server under a request with these parts.
fn crash(quarantine: &mut CrashQuarantine, parts: &[u64], now: Instant) {
    let sent: Vec<_> = parts.iter().map(|id| quarantine.begin_attempt(&part(*id), now)).collect();
    for (number, record) in parts.iter().zip(sent) {
        quarantine.record_crash(&part(*number), record, 0.0, now);
    }
}

fn left(quarantine: &CrashQuarantine, number: u64, now: Instant) -> Option<Duration> {
    quarantine.quarantine_left(&part(number), now)
}

fn notice(number: u64, cleared: u32, crashes: u32, quarantine_left: Duration) -> CrashNotice {
    let record = CrashRecord { cleared, crashes };
    CrashNotice { suspect: part(number), record, quarantine_left, is_on_trial: false }
}

#[test]
fn third_crash_quarantines_a_part_that_no_server_has_served() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for _ in 0..2 {
        crash(&mut quarantine, &[SHARED, CRASHING], now);
        assert_eq!(left(&quarantine, CRASHING, now), None);
    }
    crash(&mut quarantine, &[SHARED, CRASHING], now);
    assert_eq!(left(&quarantine, CRASHING, now), Some(seconds(30)));
    assert_eq!(left(&quarantine, SHARED, now), None, "servers have served it");
}

#[test]
fn part_that_servers_have_served_takes_more_crashes() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for _ in 0..4 {
        crash(&mut quarantine, &[SHARED], now);
        assert_eq!(left(&quarantine, SHARED, now), None);
    }
    crash(&mut quarantine, &[SHARED], now);
    assert_eq!(left(&quarantine, SHARED, now), Some(seconds(3)), "many requests depend on it");
    serve(&mut quarantine, SHARED, now);
    assert_eq!(left(&quarantine, SHARED, now), None, "a completed run clears it");
}

/// A router that has just started takes each part for one that no server has served.
#[test]
fn router_that_has_just_started_takes_more_crashes_to_quarantine_a_part() {
    let start = Instant::now();
    let mut quarantine = running_router(start);
    for _ in 0..4 {
        crash(&mut quarantine, &[CRASHING], start + seconds(1));
    }
    assert_eq!(left(&quarantine, CRASHING, start + seconds(1)), None);
    crash(&mut quarantine, &[CRASHING], start + seconds(1));
    assert_eq!(left(&quarantine, CRASHING, start + seconds(1)), Some(seconds(30)));
}

#[test]
fn most_crashes_of_other_servers_double_the_crashes_to_quarantine_a_part() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for number in 0..30 {
        quarantine.record_server_crash(&format!("i-{number}").parse().unwrap(), now);
    }
    for _ in 0..5 {
        crash(&mut quarantine, &[CRASHING], now);
        assert_eq!(left(&quarantine, CRASHING, now), None);
    }
    crash(&mut quarantine, &[CRASHING], now);
    assert_eq!(left(&quarantine, CRASHING, now), Some(seconds(30)));
}

#[test]
fn notice_of_a_served_part_is_answered_with_its_runs() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    assert!(quarantine.receive_notice(notice(SHARED, 0, 3, seconds(30)), 0.0, now));
    assert_eq!(left(&quarantine, SHARED, now), None);
    let answer = quarantine.next_unannounced(NoticeOrigin::Received, 8, now);
    assert_eq!(answer, [notice(SHARED, 1, 0, Duration::ZERO)]);
    assert!(!quarantine.receive_notice(notice(SHARED, 0, 4, seconds(240)), 0.0, now));
    assert!(quarantine.receive_notice(notice(CRASHING, 0, 3, seconds(30)), 0.0, now));
    assert_eq!(left(&quarantine, CRASHING, now), Some(seconds(30)));
}

/// Guards against refusing all requests of a route where a part that crashes servers leaves none that
/// could complete a run with the parts that its requests share.
#[test]
fn quarantine_of_a_part_clears_the_served_parts_of_its_requests() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    assert!(quarantine.receive_notice(notice(SHARED, 1, 5, seconds(30)), 0.0, now));
    assert_eq!(left(&quarantine, SHARED, now), Some(seconds(3)));
    for _ in 0..3 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    assert_eq!(left(&quarantine, CRASHING, now), Some(seconds(30)));
    assert_eq!(left(&quarantine, SHARED, now), None);
    assert!(!quarantine.receive_notice(notice(SHARED, 1, 5, seconds(30)), 0.0, now), "outdated");
}

/// Guards against a router that never holds a part since it counted as many crashes itself, among more
/// crashes of other servers.
#[test]
fn quarantine_is_adopted_from_a_router_with_the_same_record() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for number in 0..30 {
        quarantine.record_server_crash(&format!("i-{number}").parse().unwrap(), now);
    }
    for _ in 0..3 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    assert_eq!(left(&quarantine, CRASHING, now), None);
    assert!(quarantine.receive_notice(notice(CRASHING, 0, 3, seconds(20)), 0.0, now));
    assert_eq!(left(&quarantine, CRASHING, now), Some(seconds(20)));
    assert!(!quarantine.receive_notice(notice(CRASHING, 0, 3, seconds(30)), 0.0, now));
}

#[test]
fn failed_trials_extend_the_quarantine_of_a_part() {
    let start = Instant::now();
    let (mut quarantine, mut now) = (running_router(start), start + seconds(10));
    for _ in 0..3 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    for quarantine_left in [30, 240, 1_920, 15_360, 86_400, 86_400] {
        assert_eq!(left(&quarantine, CRASHING, now), Some(seconds(quarantine_left)));
        now += seconds(quarantine_left);
        assert_eq!(left(&quarantine, CRASHING, now), None);
        crash(&mut quarantine, &[CRASHING], now);
    }
}

/// Guards against fingerprinting each request for good once a server has crashed.
#[test]
fn records_expire_with_the_regular_reports() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    crash(&mut quarantine, &[CRASHING], now);
    assert_eq!(quarantine.next_quarantined(4, now + seconds(599)), []);
    assert!(!quarantine.is_empty());
    assert_eq!(quarantine.next_quarantined(4, now + seconds(600)), []);
    assert!(quarantine.is_empty());
}

/// A caller that makes up parts can't push out the record of a part that crashes servers.
#[test]
fn made_up_parts_do_not_evict_a_crashing_part() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for _ in 0..2 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    for number in 0..5_000 {
        crash(&mut quarantine, &[1_000_000 + number], now);
    }
    crash(&mut quarantine, &[CRASHING], now);
    assert_eq!(left(&quarantine, CRASHING, now), Some(seconds(30)));
    assert!(quarantine.len() <= 4_096);
}

/// Guards against refusing requests with the same content for half a minute, because they were beside a
/// crashing part on two servers in a row.
#[test]
fn content_that_servers_have_served_takes_more_crashes() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    let content = CrashSuspect::Content(RequestFingerprint(1));
    let crash_content = |quarantine: &mut CrashQuarantine| {
        let sent = quarantine.begin_attempt(&content, now);
        quarantine.record_crash(&content, sent, 0.0, now);
        quarantine.quarantine_left(&content, now)
    };
    assert_eq!(crash_content(&mut quarantine), None);
    assert!(quarantine.record_run(&content, CrashRecord::default(), now));
    for _ in 0..4 {
        assert_eq!(crash_content(&mut quarantine), None);
    }
    assert_eq!(crash_content(&mut quarantine), Some(seconds(3)));
    for _ in 0..3 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    assert_eq!(quarantine.quarantine_left(&content, now), None, "the part explains its crashes");
}

/// Guards against refusing a sound request for half a minute that was beside a crashing part twice, before
/// the part was known.
#[test]
fn quarantine_of_a_part_lets_other_suspects_try_soon() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    let content = CrashSuspect::Content(RequestFingerprint(1));
    for _ in 0..2 {
        let sent = quarantine.begin_attempt(&content, now);
        quarantine.record_crash(&content, sent, 0.0, now);
    }
    assert_eq!(quarantine.quarantine_left(&content, now), Some(seconds(30)));
    assert!(quarantine.receive_notice(notice(CRASHING, 0, 3, seconds(30)), 0.5, now));
    assert_eq!(quarantine.quarantine_left(&content, now), Some(Duration::from_millis(1_500)));
    let trial = now + seconds(2);
    let sent = quarantine.begin_attempt(&content, trial);
    assert_eq!(quarantine.quarantine_left(&content, trial), Some(seconds(30)), "one at a time");
    quarantine.record_crash(&content, sent, 0.0, trial);
    assert_eq!(quarantine.quarantine_left(&content, trial), Some(seconds(120)));
    // A quarantine that a trial has extended explains no crashes, nor do others explain its crashes.
    assert!(quarantine.receive_notice(notice(CRASHING, 0, 4, seconds(240)), 0.5, trial));
    assert!(quarantine.receive_notice(notice(SHARED + 1, 0, 3, seconds(30)), 0.5, trial));
    assert_eq!(quarantine.quarantine_left(&content, trial), Some(seconds(120)));
}

/// Guards against a part that servers no longer serve and that is never held, since each of its requests
/// is held by its content first.
#[test]
fn quarantine_of_contents_does_not_explain_the_crashes_of_their_parts() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for number in 0..2 {
        let content = CrashSuspect::Content(RequestFingerprint(number));
        for _ in 0..2 {
            let sent = quarantine.begin_attempt(&content, now);
            crash(&mut quarantine, &[SHARED], now);
            quarantine.record_crash(&content, sent, 0.0, now);
        }
        assert!(quarantine.quarantine_left(&content, now).is_some());
    }
    crash(&mut quarantine, &[SHARED], now);
    assert_eq!(left(&quarantine, SHARED, now), Some(seconds(3)));
}

/// Guards against refusing all requests of a route while several parts crash servers, each of which shares
/// the first part of the route.
#[test]
fn served_part_takes_more_crashes_beside_a_likely_cause() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for _ in 0..2 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    for _ in 0..7 {
        crash(&mut quarantine, &[SHARED], now);
        assert_eq!(left(&quarantine, SHARED, now), None);
    }
    crash(&mut quarantine, &[SHARED], now);
    assert_eq!(left(&quarantine, SHARED, now), Some(seconds(3)));
}

/// Guards against extending the quarantine of a served part by requests that crash servers on another one.
#[test]
fn served_part_is_tried_by_a_request_without_other_crashes() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    crash(&mut quarantine, &[CRASHING], now);
    for _ in 0..5 {
        crash(&mut quarantine, &[SHARED], now);
    }
    let is_held = |quarantine: &CrashQuarantine, parts: &[u64], now| {
        let suspects: Vec<_> = parts.iter().map(|number| part(*number)).collect();
        quarantine.held_suspect(&suspects, now).is_some()
    };
    assert!(is_held(&quarantine, &[SHARED], now));
    let trial = now + seconds(3);
    assert!(!is_held(&quarantine, &[SHARED], trial));
    assert!(!is_held(&quarantine, &[SHARED, 0xb], trial), "servers have not crashed on it");
    assert!(is_held(&quarantine, &[SHARED, CRASHING], trial));
    assert!(!is_held(&quarantine, &[CRASHING], trial));
    assert!(!is_held(&quarantine, &[SHARED, CRASHING], trial + seconds(30)), "no other came");
}

/// Guards against trials by several routers at once, each of which may crash a server.
#[test]
fn trial_of_another_router_is_waited_for() {
    let start = Instant::now();
    let (mut tester, now) = (running_router(start), start + seconds(10));
    let mut other = running_router(start);
    for _ in 0..3 {
        crash(&mut tester, &[CRASHING], now);
    }
    assert!(other.receive_notice(notice(CRASHING, 0, 3, seconds(30)), 0.0, now));
    tester.next_unannounced(NoticeOrigin::Observed, 8, now);
    other.next_unannounced(NoticeOrigin::Received, 8, now);
    let trial = now + seconds(30);
    assert_eq!(left(&other, CRASHING, trial), None);
    tester.begin_attempt(&part(CRASHING), trial);
    let notices = tester.next_unannounced(NoticeOrigin::Observed, 8, trial);
    let is_on_trial = CrashNotice { is_on_trial: true, ..notice(CRASHING, 0, 3, Duration::ZERO) };
    assert_eq!(notices, std::slice::from_ref(&is_on_trial));
    assert!(other.receive_notice(is_on_trial.clone(), 0.5, trial));
    assert_eq!(left(&other, CRASHING, trial), Some(seconds(45)), "30 s plus half of it as jitter");
    let relayed = other.next_unannounced(NoticeOrigin::Received, 8, trial);
    assert_eq!(relayed, std::slice::from_ref(&is_on_trial));
    assert!(!other.receive_notice(is_on_trial, 0.0, trial), "already known");
    assert!(other.receive_notice(notice(CRASHING, 0, 4, seconds(240)), 0.0, trial));
    assert_eq!(left(&other, CRASHING, trial), Some(seconds(240)));
}

/// Guards against spending the trial on a server that refuses the connection.
#[test]
fn request_that_was_not_sent_is_no_trial() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for _ in 0..3 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    let trial = now + seconds(30);
    quarantine.begin_attempt(&part(CRASHING), trial);
    assert_eq!(left(&quarantine, CRASHING, trial), Some(seconds(30)));
    quarantine.withdraw_attempt(&part(CRASHING), trial);
    assert_eq!(left(&quarantine, CRASHING, trial), None);
    assert!(!quarantine.is_on_trial(&part(CRASHING), trial));
}

/// Guards against quarantines by chance while there are more notices than a router may send at once.
#[test]
fn completed_runs_are_announced_before_records_of_few_crashes() {
    let start = Instant::now();
    let (mut quarantine, now) = (running_router(start), start + seconds(10));
    for _ in 0..2 {
        crash(&mut quarantine, &[SHARED], now);
        crash(&mut quarantine, &[0xb], now);
    }
    serve(&mut quarantine, SHARED, now);
    for _ in 0..3 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    let announced = quarantine.next_unannounced(NoticeOrigin::Observed, 8, now);
    let suspects: Vec<_> = announced.into_iter().map(|notice| notice.suspect).collect();
    assert_eq!(suspects, [CRASHING, SHARED, 0xb].map(part));
}

#[test]
fn requests_without_shared_parts_show_no_parts_in_use() {
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    quarantine.record_served_parts(&"llm".parse().unwrap(), std::iter::empty(), start);
    let now = start + seconds(10);
    for _ in 0..4 {
        crash(&mut quarantine, &[CRASHING], now);
    }
    assert_eq!(left(&quarantine, CRASHING, now), None, "the router doesn't know which part is new");
}
