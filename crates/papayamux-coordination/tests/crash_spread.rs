//! A fleet whose routers tell one another of crashes, in simulated time: requests that end every server are
//! sent again and again through any of them, datagrams are lost, routers forget all at their restarts, and
//! servers end by other causes too.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use papayamux_coordination::crash_quarantine::{CrashQuarantine, NoticeOrigin, HELD_PER_REPORT};
use papayamux_state::crash_record::{CrashNotice, CrashRecord};
use papayamux_state::request_fingerprint::RequestFingerprint;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time from a sending to the end of its server.
const RUN_MS: u64 = 80;
/// Time after the third server has ended, or after a restart, in which a router may still learn of it.
const LEARNT_WITHIN_MS: u64 = 3_000;
/// How often the request may reach a server after that.
const MOST_LATER: usize = 3;
/// Datagrams lost.
const LOSS: f64 = 0.02;
/// The longest way of a datagram.
const LONGEST_WAY_MS: u64 = 40;
/// Pause between the regular reports of a router, and to how many others each one goes.
const REPORT_EVERY_MS: u64 = 250;
const REPORTED_TO: usize = 12;
/// Time between the first sendings of two requests.
const FATALS_APART_MS: u64 = 130;

/// What is played.
#[derive(Debug, Clone, Copy)]
struct Play {
    routers: usize,
    /// Requests that end servers.
    fatals: usize,
    /// Pause between two sendings of each of them.
    every_ms: u64,
    /// Servers that one call may reach.
    attempts: u32,
    /// Pause between two restarts of a router.
    restart_every_ms: Option<u64>,
    /// When all routers restart at once.
    all_restart_ms: Option<u64>,
    /// Pause between two ends of servers that no request causes, each seen by one router.
    ends_every_ms: Option<u64>,
    until_ms: u64,
}

const DEFAULT: Play = Play {
    routers: 6,
    fatals: 1,
    every_ms: 250,
    attempts: 2,
    restart_every_ms: None,
    all_restart_ms: None,
    ends_every_ms: None,
    until_ms: 90_000,
};

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Crash(FatalRun),
    Datagram { router: usize, notices: Vec<(u64, u32, u32, u64)> },
    End,
    Report(usize),
    Restart,
    RestartAll,
}

/// A sending that is about to end its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FatalRun {
    fatal: usize,
    router: usize,
    life: u32,
    /// The record that it was sent with.
    sent: (u32, u32),
    attempts_left: u32,
}

/// What one of the requests has done.
#[derive(Debug, Clone, Copy, Default)]
struct FatalHistory {
    crashes: usize,
    third_ms: Option<u64>,
    late: usize,
}

struct Router {
    quarantine: CrashQuarantine,
    life: u32,
    started_ms: u64,
    told_last: usize,
}

fn fingerprint(fatal: usize) -> RequestFingerprint {
    RequestFingerprint(fatal as u64)
}

struct Fleet {
    play: Play,
    random: StdRng,
    begun: Instant,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    routers: Vec<Router>,
    fatals: Vec<FatalHistory>,
    ends: u32,
    news_datagrams: usize,
}

/// What came of a play.
#[derive(Debug)]
struct Outcome {
    /// Servers that ended.
    crashes: usize,
    /// How often one of the requests reached a server when routers should have known.
    late: usize,
    /// Datagrams with news that a router sent for each record, beside its reports.
    news_per_record: f64,
}

fn play(play: Play, seed: u64) -> Outcome {
    let routers = (0..play.routers).map(|_| Router {
        quarantine: CrashQuarantine::default(),
        life: 0,
        started_ms: 0,
        told_last: 0,
    });
    let mut fleet = Fleet {
        play,
        random: StdRng::seed_from_u64(seed),
        begun: Instant::now(),
        now_ms: 0,
        events: BinaryHeap::new(),
        scheduled: 0,
        routers: routers.collect(),
        fatals: vec![FatalHistory::default(); play.fatals],
        ends: 0,
        news_datagrams: 0,
    };
    fleet.run();
    let crashes: usize = fleet.fatals.iter().map(|fatal| fatal.crashes).sum();
    let news_per_record = fleet.news_datagrams as f64 / (crashes.max(1) * play.routers) as f64;
    let late = fleet.fatals.iter().map(|fatal| fatal.late).max().unwrap_or_default();
    Outcome { crashes, late, news_per_record }
}

impl Fleet {
    fn run(&mut self) {
        for fatal in 0..self.play.fatals {
            self.schedule(fatal as u64 * FATALS_APART_MS, Event::Call(fatal));
        }
        if let Some(every) = self.play.ends_every_ms {
            self.schedule(every, Event::End);
        }
        for router in 0..self.play.routers {
            let first = self.random.random_range(0..REPORT_EVERY_MS);
            self.schedule(first, Event::Report(router));
        }
        if let Some(every) = self.play.restart_every_ms {
            self.schedule(every, Event::Restart);
        }
        if let Some(at) = self.play.all_restart_ms {
            self.schedule(at, Event::RestartAll);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.play.until_ms {
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
                let router = self.random.random_range(0..self.play.routers);
                self.send(fatal, router, self.play.attempts);
                self.schedule(self.play.every_ms, Event::Call(fatal));
            }
            Event::Crash(run) => self.crash(run),
            Event::End => {
                let router = self.random.random_range(0..self.play.routers);
                self.note_end(router);
                let every = self.play.ends_every_ms.unwrap_or(u64::MAX);
                self.schedule(every, Event::End);
            }
            Event::Datagram { router, notices } => {
                let now = self.now();
                for (fingerprint, cleared, crashes, held_ms) in notices {
                    let draw = self.random.random();
                    let notice = CrashNotice {
                        fingerprint: RequestFingerprint(fingerprint),
                        record: CrashRecord { cleared, crashes },
                        held: Duration::from_millis(held_ms),
                    };
                    self.routers[router].quarantine.take_notice(notice, draw, now);
                }
                self.spread(router);
            }
            Event::Report(router) => {
                self.report(router);
                self.schedule(REPORT_EVERY_MS, Event::Report(router));
            }
            Event::Restart => {
                let router = self.random.random_range(0..self.play.routers);
                self.restart(router);
                let every = self.play.restart_every_ms.unwrap_or(u64::MAX);
                self.schedule(every, Event::Restart);
            }
            Event::RestartAll => (0..self.play.routers).for_each(|router| self.restart(router)),
        }
    }

    fn restart(&mut self, router: usize) {
        let known = &mut self.routers[router];
        known.quarantine = CrashQuarantine::default();
        known.life += 1;
        known.started_ms = self.now_ms;
    }

    /// Lets a router see that another server has ended.
    fn note_end(&mut self, router: usize) {
        self.ends += 1;
        let (server, now) = (format!("i-{}", self.ends).parse().unwrap(), self.now());
        self.routers[router].quarantine.note_end(&server, now);
    }

    fn crash(&mut self, run: FatalRun) {
        let FatalRun { fatal, router, life, sent, attempts_left } = run;
        let history = &mut self.fatals[fatal];
        history.crashes += 1;
        if history.crashes == 3 {
            history.third_ms = Some(self.now_ms);
        }
        if self.routers[router].life != life {
            return;
        }
        self.note_end(router);
        let (draw, now) = (self.random.random(), self.now());
        let sent = CrashRecord { cleared: sent.0, crashes: sent.1 };
        self.routers[router].quarantine.note_crash(fingerprint(fatal), sent, draw, now);
        self.spread(router);
        if attempts_left > 0 {
            self.send(fatal, router, attempts_left);
        }
    }

    fn send(&mut self, fatal: usize, router: usize, attempts: u32) {
        let now = self.now();
        let known = &mut self.routers[router];
        if known.quarantine.hold_left(fingerprint(fatal), now).is_some() {
            return;
        }
        let sent = known.quarantine.begin_attempt(fingerprint(fatal), now);
        let (life, started_ms) = (known.life, known.started_ms);
        let should_know = self.fatals[fatal].third_ms.is_some_and(|third| {
            let has_run_for = self.now_ms - started_ms;
            let is_settled = started_ms == 0 || has_run_for > LEARNT_WITHIN_MS;
            self.now_ms > third + LEARNT_WITHIN_MS && is_settled
        });
        self.fatals[fatal].late += usize::from(should_know);
        let sent = (sent.cleared, sent.crashes);
        let run = FatalRun { fatal, router, life, sent, attempts_left: attempts - 1 };
        self.schedule(RUN_MS, Event::Crash(run));
    }

    /// Passes on what a router has to tell.
    fn spread(&mut self, router: usize) {
        let now = self.now();
        for origin in [NoticeOrigin::Seen, NoticeOrigin::Heard] {
            let notices = self.routers[router].quarantine.next_untold(origin, 32, now);
            if notices.is_empty() {
                continue;
            }
            let others = self.play.routers - 1;
            let first = self.random.random_range(0..others);
            for step in 0..origin.fanout().min(others) {
                let target = (router + 1 + (first + step) % others) % self.play.routers;
                self.news_datagrams += 1;
                self.deliver(target, &notices);
            }
        }
    }

    fn report(&mut self, router: usize) {
        let now = self.now();
        let notices = self.routers[router].quarantine.next_held(HELD_PER_REPORT, now);
        let others = self.play.routers - 1;
        let first = self.routers[router].told_last;
        self.routers[router].told_last = (first + REPORTED_TO) % others;
        if notices.is_empty() {
            return;
        }
        for step in 0..REPORTED_TO.min(others) {
            let target = (router + 1 + (first + step) % others) % self.play.routers;
            self.deliver(target, &notices);
        }
    }

    fn deliver(&mut self, router: usize, notices: &[CrashNotice]) {
        if self.random.random_bool(LOSS) {
            return;
        }
        let notices = notices.iter().map(|notice| {
            let CrashRecord { cleared, crashes } = notice.record;
            (notice.fingerprint.0, cleared, crashes, notice.held.as_millis() as u64)
        });
        let notices = notices.collect();
        let way = self.random.random_range(1..=LONGEST_WAY_MS);
        self.schedule(way, Event::Datagram { router, notices });
    }
}

fn check(of: Play, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let outcome = play(of, seed);
        assert!(outcome.late <= MOST_LATER, "{of:?}, seed {seed}: {outcome:?}");
        assert!(outcome.crashes >= 2, "{of:?}, seed {seed}: the request was held too soon");
    }
}

#[test]
fn routers_of_a_small_fleet_keep_the_request_from_servers() {
    for every_ms in [20, 250, 1_300, 5_000] {
        for attempts in [1, 2, 3] {
            check(Play { every_ms, attempts, ..DEFAULT }, 0..20);
        }
    }
}

#[test]
fn routers_that_restart_learn_it_again_from_the_others() {
    for every_ms in [20, 250, 1_300] {
        check(Play { every_ms, restart_every_ms: Some(2_000), ..DEFAULT }, 0..20);
    }
}

#[test]
fn routers_keep_several_such_requests_from_servers_that_end_by_other_causes_too() {
    for fatals in [1, 3, 8] {
        for ends_every_ms in [None, Some(700), Some(5_000)] {
            for restart_every_ms in [None, Some(8_000)] {
                let of =
                    Play { fatals, ends_every_ms, restart_every_ms, every_ms: 1_300, ..DEFAULT };
                check(of, 0..10);
            }
        }
    }
}

#[test]
fn routers_of_larger_fleets_that_restart_learn_it_again() {
    for routers in [68, 300] {
        let of = Play { routers, restart_every_ms: Some(500), every_ms: 300, ..DEFAULT };
        check(Play { until_ms: 25_000, ..of }, 0..2);
    }
}

#[test]
fn fleet_that_has_forgotten_all_learns_it_again_within_the_bound() {
    for every_ms in [250, 1_300, 5_000] {
        check(Play { every_ms, all_restart_ms: Some(20_000), ..DEFAULT }, 0..20);
    }
}

#[test]
fn request_that_never_stops_coming_tries_servers_ever_more_rarely() {
    check(Play { every_ms: 1_300, until_ms: 900_000, ..DEFAULT }, 0..5);
}

#[test]
fn what_a_router_tells_does_not_grow_with_the_fleet() {
    for routers in [68, 300, 1_000] {
        for attempts in [1, 2] {
            let of = Play { routers, attempts, every_ms: 2_000, until_ms: 40_000, ..DEFAULT };
            let outcome = play(of, 1);
            assert!(outcome.late <= MOST_LATER, "{of:?}: {outcome:?}");
            assert!(outcome.news_per_record <= 5.0, "{of:?}: {outcome:?}");
        }
    }
}
