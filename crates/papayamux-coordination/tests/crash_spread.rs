//! Simulates a fleet whose routers notify each other of crashes. Requests that crash every server
//! are sent again and again through any router, datagrams are lost, routers lose all records when
//! they restart, and servers also crash from other causes.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests, which may panic")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::{
    CrashQuarantine, NoticeOrigin, QUARANTINED_PER_REPORT,
};
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::crash_suspect::CrashSuspect;
use papayamux_state::request_fingerprint::RequestFingerprint;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time from the dispatch of a request to the crash of its server.
const RUN_MS: u64 = 80;
/// Time after the third crash, or after a restart, in which a router may still learn of the
/// request.
const PROPAGATION_DEADLINE_MS: u64 = 3_000;
/// Maximum number of times that the request may reach a server after that.
const MAX_LATE_ATTEMPTS: usize = 3;
/// Probability that a datagram is lost.
const DATAGRAM_LOSS: f64 = 0.02;
/// Maximum delay of a datagram.
const MAX_DATAGRAM_DELAY_MS: u64 = 40;
/// Interval between the regular reports of a router; [`REPORT_FANOUT`] other routers get each of
/// them.
const REPORT_INTERVAL_MS: u64 = 250;
const REPORT_FANOUT: usize = 12;
/// Time between the first calls of two requests.
const FIRST_CALL_SPACING_MS: u64 = 130;

/// The simulated scenario.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    routers: usize,
    /// Number of requests that crash servers.
    fatals: usize,
    /// Interval between two calls of each request.
    call_interval_ms: u64,
    /// Maximum number of servers that one call may reach.
    attempts: u32,
    /// Interval between two restarts of a router.
    restart_interval_ms: Option<u64>,
    /// When all routers restart at once.
    restart_all_at_ms: Option<u64>,
    /// Interval between two crashes that no request causes, each observed by one router.
    other_crash_interval_ms: Option<u64>,
    until_ms: u64,
}

const DEFAULT: Scenario = Scenario {
    routers: 6,
    fatals: 1,
    call_interval_ms: 250,
    attempts: 2,
    restart_interval_ms: None,
    restart_all_at_ms: None,
    other_crash_interval_ms: None,
    until_ms: 90_000,
};

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Crash(FatalRun),
    Datagram { router: usize, notices: Vec<(u64, u32, u32, u64)> },
    ServerCrash,
    Report(usize),
    Restart,
    RestartAll,
}

/// A request that is about to crash its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FatalRun {
    fatal: usize,
    router: usize,
    incarnation: u32,
    /// The record that the request was sent with.
    sent: (u32, u32),
    attempts_left: u32,
}

/// The history of one request.
#[derive(Debug, Clone, Copy, Default)]
struct FatalHistory {
    crashes: usize,
    third_crash_ms: Option<u64>,
    late_attempts: usize,
}

struct Router {
    quarantine: CrashQuarantine,
    incarnation: u32,
    started_ms: u64,
    last_report_target: usize,
}

fn suspect(fatal: usize) -> CrashSuspect {
    RequestFingerprint(fatal as u64).into()
}

/// Returns the number of a suspected content.
fn content(suspect: &CrashSuspect) -> u64 {
    match suspect {
        CrashSuspect::Content(fingerprint) => fingerprint.0,
        CrashSuspect::Part(part) => panic!("{part:?} is no content"),
    }
}

struct Fleet {
    scenario: Scenario,
    random: StdRng,
    begun: Instant,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    routers: Vec<Router>,
    fatals: Vec<FatalHistory>,
    other_crashes: u32,
    notice_datagrams: usize,
}

/// The result of a simulation.
#[derive(Debug)]
struct Outcome {
    /// Number of crashed servers.
    crashes: usize,
    /// Maximum number of times that one of the requests reached a server after the routers should
    /// have known of it.
    late_attempts: usize,
    /// Datagrams with notices that a router sent per record, besides its reports.
    datagrams_per_record: f64,
}

fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let routers = (0..scenario.routers).map(|_| Router {
        quarantine: CrashQuarantine::default(),
        incarnation: 0,
        started_ms: 0,
        last_report_target: 0,
    });
    let mut fleet = Fleet {
        scenario,
        random: StdRng::seed_from_u64(seed),
        begun: Instant::now(),
        now_ms: 0,
        events: BinaryHeap::new(),
        scheduled: 0,
        routers: routers.collect(),
        fatals: vec![FatalHistory::default(); scenario.fatals],
        other_crashes: 0,
        notice_datagrams: 0,
    };
    fleet.run();
    let crashes: usize = fleet.fatals.iter().map(|fatal| fatal.crashes).sum();
    let datagrams_per_record =
        fleet.notice_datagrams as f64 / (crashes.max(1) * scenario.routers) as f64;
    let late_attempts =
        fleet.fatals.iter().map(|fatal| fatal.late_attempts).max().unwrap_or_default();
    Outcome { crashes, late_attempts, datagrams_per_record }
}

impl Fleet {
    fn run(&mut self) {
        for fatal in 0..self.scenario.fatals {
            self.schedule(fatal as u64 * FIRST_CALL_SPACING_MS, Event::Call(fatal));
        }
        if let Some(interval_ms) = self.scenario.other_crash_interval_ms {
            self.schedule(interval_ms, Event::ServerCrash);
        }
        for router in 0..self.scenario.routers {
            let first = self.random.random_range(0..REPORT_INTERVAL_MS);
            self.schedule(first, Event::Report(router));
        }
        if let Some(interval_ms) = self.scenario.restart_interval_ms {
            self.schedule(interval_ms, Event::Restart);
        }
        if let Some(at) = self.scenario.restart_all_at_ms {
            self.schedule(at, Event::RestartAll);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.scenario.until_ms {
                return;
            }
            self.now_ms = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((self.now_ms + after_ms, self.scheduled, event)));
    }

    fn now(&self) -> Instant {
        self.begun + Duration::from_millis(self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(fatal) => {
                let router = self.random.random_range(0..self.scenario.routers);
                self.send(fatal, router, self.scenario.attempts);
                self.schedule(self.scenario.call_interval_ms, Event::Call(fatal));
            }
            Event::Crash(run) => self.crash(run),
            Event::ServerCrash => {
                let router = self.random.random_range(0..self.scenario.routers);
                self.record_server_crash(router);
                let interval_ms = self.scenario.other_crash_interval_ms.unwrap_or(u64::MAX);
                self.schedule(interval_ms, Event::ServerCrash);
            }
            Event::Datagram { router, notices } => {
                let now = self.now();
                for (fingerprint, cleared, crashes, held_ms) in notices {
                    let jitter = self.random.random();
                    let notice = CrashNotice {
                        suspect: RequestFingerprint(fingerprint).into(),
                        record: CrashRecord { cleared, crashes },
                        quarantine_left: Duration::from_millis(held_ms),
                        is_on_trial: false,
                    };
                    self.routers[router].quarantine.receive_notice(notice, jitter, now);
                }
                self.announce(router);
            }
            Event::Report(router) => {
                self.report(router);
                self.schedule(REPORT_INTERVAL_MS, Event::Report(router));
            }
            Event::Restart => {
                let router = self.random.random_range(0..self.scenario.routers);
                self.restart(router);
                let interval_ms = self.scenario.restart_interval_ms.unwrap_or(u64::MAX);
                self.schedule(interval_ms, Event::Restart);
            }
            Event::RestartAll => (0..self.scenario.routers).for_each(|router| self.restart(router)),
        }
    }

    fn restart(&mut self, router: usize) {
        let known = &mut self.routers[router];
        known.quarantine = CrashQuarantine::default();
        known.incarnation += 1;
        known.started_ms = self.now_ms;
    }

    /// Lets a router observe the crash of another server.
    fn record_server_crash(&mut self, router: usize) {
        self.other_crashes += 1;
        let (server, now) = (format!("i-{}", self.other_crashes).parse().unwrap(), self.now());
        self.routers[router].quarantine.record_server_crash(&server, now);
    }

    fn crash(&mut self, run: FatalRun) {
        let FatalRun { fatal, router, incarnation, sent, attempts_left } = run;
        let history = &mut self.fatals[fatal];
        history.crashes += 1;
        if history.crashes == 3 {
            history.third_crash_ms = Some(self.now_ms);
        }
        if self.routers[router].incarnation != incarnation {
            return;
        }
        self.record_server_crash(router);
        let (jitter, now) = (self.random.random(), self.now());
        let sent = CrashRecord { cleared: sent.0, crashes: sent.1 };
        self.routers[router].quarantine.record_crash(&suspect(fatal), sent, jitter, now);
        self.announce(router);
        if attempts_left > 0 {
            self.send(fatal, router, attempts_left);
        }
    }

    fn send(&mut self, fatal: usize, router: usize, attempts: u32) {
        let now = self.now();
        let known = &mut self.routers[router];
        if known.quarantine.quarantine_left(&suspect(fatal), now).is_some() {
            return;
        }
        let sent = known.quarantine.begin_attempt(&suspect(fatal), now);
        let (incarnation, started_ms) = (known.incarnation, known.started_ms);
        let should_know = self.fatals[fatal].third_crash_ms.is_some_and(|third| {
            let has_run_for = self.now_ms - started_ms;
            let is_settled = started_ms == 0 || has_run_for > PROPAGATION_DEADLINE_MS;
            self.now_ms > third + PROPAGATION_DEADLINE_MS && is_settled
        });
        self.fatals[fatal].late_attempts += usize::from(should_know);
        let sent = (sent.cleared, sent.crashes);
        let run = FatalRun { fatal, router, incarnation, sent, attempts_left: attempts - 1 };
        self.schedule(RUN_MS, Event::Crash(run));
    }

    /// Sends the notices that a router has not yet announced.
    fn announce(&mut self, router: usize) {
        let now = self.now();
        for origin in [NoticeOrigin::Observed, NoticeOrigin::Received] {
            let notices = self.routers[router].quarantine.next_unannounced(origin, 32, now);
            if notices.is_empty() {
                continue;
            }
            let others = self.scenario.routers - 1;
            let first = self.random.random_range(0..others);
            for step in 0..origin.fanout().min(others) {
                let target = (router + 1 + (first + step) % others) % self.scenario.routers;
                self.notice_datagrams += 1;
                self.deliver(target, &notices);
            }
        }
    }

    fn report(&mut self, router: usize) {
        let now = self.now();
        let notices = self.routers[router].quarantine.next_quarantined(QUARANTINED_PER_REPORT, now);
        let others = self.scenario.routers - 1;
        let first = self.routers[router].last_report_target;
        self.routers[router].last_report_target = (first + REPORT_FANOUT) % others;
        if notices.is_empty() {
            return;
        }
        for step in 0..REPORT_FANOUT.min(others) {
            let target = (router + 1 + (first + step) % others) % self.scenario.routers;
            self.deliver(target, &notices);
        }
    }

    fn deliver(&mut self, router: usize, notices: &[CrashNotice]) {
        if self.random.random_bool(DATAGRAM_LOSS) {
            return;
        }
        let notices = notices.iter().map(|notice| {
            let CrashRecord { cleared, crashes } = notice.record;
            (content(&notice.suspect), cleared, crashes, notice.quarantine_left.as_millis() as u64)
        });
        let notices = notices.collect();
        let delay_ms = self.random.random_range(1..=MAX_DATAGRAM_DELAY_MS);
        self.schedule(delay_ms, Event::Datagram { router, notices });
    }
}

fn check(scenario: Scenario, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let outcome = simulate(scenario, seed);
        assert!(
            outcome.late_attempts <= MAX_LATE_ATTEMPTS,
            "{scenario:?}, seed {seed}: {outcome:?}"
        );
        assert!(
            outcome.crashes >= 2,
            "{scenario:?}, seed {seed}: the request was quarantined too soon"
        );
    }
}

#[test]
fn small_fleet_quarantines_the_request() {
    for call_interval_ms in [20, 250, 1_300, 5_000] {
        for attempts in [1, 2, 3] {
            check(Scenario { call_interval_ms, attempts, ..DEFAULT }, 0..20);
        }
    }
}

#[test]
fn restarted_routers_relearn_the_quarantine() {
    for call_interval_ms in [20, 250, 1_300] {
        check(Scenario { call_interval_ms, restart_interval_ms: Some(2_000), ..DEFAULT }, 0..20);
    }
}

#[test]
fn several_requests_are_quarantined_amid_other_crashes() {
    for fatals in [1, 3, 8] {
        for other_crash_interval_ms in [None, Some(700), Some(5_000)] {
            for restart_interval_ms in [None, Some(8_000)] {
                let scenario = Scenario {
                    fatals,
                    other_crash_interval_ms,
                    restart_interval_ms,
                    call_interval_ms: 1_300,
                    ..DEFAULT
                };
                check(scenario, 0..10);
            }
        }
    }
}

#[test]
fn restarted_routers_of_larger_fleets_relearn_the_quarantine() {
    for routers in [68, 300] {
        let scenario =
            Scenario { routers, restart_interval_ms: Some(500), call_interval_ms: 300, ..DEFAULT };
        check(Scenario { until_ms: 25_000, ..scenario }, 0..2);
    }
}

#[test]
fn fully_restarted_fleet_relearns_within_the_bound() {
    for call_interval_ms in [250, 1_300, 5_000] {
        check(Scenario { call_interval_ms, restart_all_at_ms: Some(20_000), ..DEFAULT }, 0..20);
    }
}

#[test]
fn persistent_request_reaches_servers_ever_more_rarely() {
    check(Scenario { call_interval_ms: 1_300, until_ms: 900_000, ..DEFAULT }, 0..5);
}

#[test]
fn notices_per_router_do_not_grow_with_the_fleet() {
    for routers in [68, 300, 1_000] {
        for attempts in [1, 2] {
            let scenario = Scenario {
                routers,
                attempts,
                call_interval_ms: 2_000,
                until_ms: 40_000,
                ..DEFAULT
            };
            let outcome = simulate(scenario, 1);
            assert!(outcome.late_attempts <= MAX_LATE_ATTEMPTS, "{scenario:?}: {outcome:?}");
            assert!(outcome.datagrams_per_record <= 5.0, "{scenario:?}: {outcome:?}");
        }
    }
}
