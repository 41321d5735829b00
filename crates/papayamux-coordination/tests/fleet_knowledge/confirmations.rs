//! No router takes its configuration for newer than it is, under any message delays and restarts.
//!
//! Three routers with different clock offsets execute every order of reads, queries and reports up to a
//! depth, with delayed, lost and duplicated reports, pauses and restarts, while the source changes. After
//! each step, a router's confirmed configuration must have been the newest at the confirmed time.
//! Injected faults show that the check detects violations.

use std::collections::HashSet;
use std::time::Duration;

use papayamux_coordination::fleet_knowledge::{ReceivedQuery, ReportedOffset};
use papayamux_coordination::freshness_confirmation::FreshnessQuery;
use papayamux_state::boot_time::BootInstant;

const ROUTERS: usize = 3;
/// Number of steps of one run. A step of time is a second, so that rounding hides no fault.
const DEPTH: usize = 7;
const STEP: u64 = 1_000;
/// True time at which the source changes from version 1 to 2.
const CHANGED_AT: u64 = STEP / 2;
/// Offsets of the routers' clocks to the true time.
const CLOCKS: [u64; ROUTERS] = [50_000, 1_000_000, 20_000];

/// A rule of the confirmation that a run violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    /// A report is timestamped by its arrival.
    TimestampedByArrival,
    /// A report of another version is accepted.
    AnyVersion,
    /// A report to an earlier incarnation is accepted.
    AnyIncarnation,
    /// A read is timestamped by the arrival of its answer.
    ReadByArrival,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RouterState {
    incarnation: u64,
    clock: u64,
    version: u64,
    confirmed: Option<u64>,
    /// Received queries: the querying router, its incarnation, and the times of sending and of receipt.
    received: Vec<(usize, u64, u64, u64)>,
    /// Time at which the pending read was sent, and the source's version at that time.
    reading: Option<(u64, u64)>,
}

/// A report in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ConfirmationReport {
    to: usize,
    incarnation: u64,
    query_time: u64,
    offset: i64,
    version: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Simulation {
    now: u64,
    routers: Vec<RouterState>,
    reports: Vec<ConfirmationReport>,
    queries: Vec<(usize, usize, u64, u64)>,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Wait,
    Send(usize),
    Receive(usize),
    Query(usize, usize),
    ReceiveQuery(usize),
    SendReport(usize, usize),
    /// Delivers a report and keeps a copy in flight, which models duplicates. Reports still in flight at the
    /// end of a run are lost.
    Deliver(usize),
    Restart(usize),
}

fn instant(millis: u64) -> BootInstant {
    BootInstant(Duration::from_millis(millis))
}

impl Simulation {
    fn new() -> Self {
        let router = |clock| RouterState {
            incarnation: 1,
            clock,
            version: 1,
            confirmed: None,
            received: Vec::new(),
            reading: None,
        };
        let routers = CLOCKS.into_iter().map(router).collect();
        Self { now: 0, routers, reports: Vec::new(), queries: Vec::new() }
    }

    fn newest(&self) -> u64 {
        if self.now >= CHANGED_AT {
            2
        } else {
            1
        }
    }

    fn clock(&self, router: usize) -> u64 {
        self.routers[router].clock + self.now
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = vec![Action::Wait];
        for router in 0..ROUTERS {
            match self.routers[router].reading {
                // The third router never reads and depends on reports.
                None if router < 2 => actions.push(Action::Send(router)),
                None => {}
                Some(_) => actions.push(Action::Receive(router)),
            }
            // One query in flight per router suffices, since only the last one received counts.
            if self.queries.iter().all(|(querier, ..)| *querier != router) {
                actions.push(Action::Query(router, (router + 1) % ROUTERS));
            }
            for query in 0..self.routers[router].received.len() {
                actions.push(Action::SendReport(router, query));
            }
        }
        actions.extend((0..self.queries.len()).map(Action::ReceiveQuery));
        actions.extend((0..self.reports.len()).map(Action::Deliver));
        actions.push(Action::Restart(0));
        actions
    }

    fn apply(&mut self, action: Action, fault: InjectedFault) {
        match action {
            Action::Wait => self.now += STEP,
            Action::Send(router) => {
                let sent = (self.clock(router), self.newest());
                self.routers[router].reading = Some(sent);
            }
            Action::Receive(router) => {
                let arrived = self.clock(router);
                let Some((sent, version)) = self.routers[router].reading.take() else { return };
                let timestamp = if fault == InjectedFault::ReadByArrival { arrived } else { sent };
                let state = &mut self.routers[router];
                if version >= state.version {
                    state.version = version;
                    state.confirmed = state.confirmed.max(Some(timestamp));
                }
            }
            Action::Query(querier, queried) => {
                let query =
                    (querier, queried, self.routers[querier].incarnation, self.clock(querier));
                self.queries.push(query);
            }
            Action::ReceiveQuery(index) => {
                let (querier, queried, incarnation, at) = self.queries.remove(index);
                let received = self.clock(queried);
                self.routers[queried].received = vec![(querier, incarnation, at, received)];
            }
            Action::SendReport(router, index) => self.send_report(router, index),
            Action::Deliver(index) => self.deliver(index, fault),
            Action::Restart(router) => self.restart(router),
        }
    }

    fn send_report(&mut self, router: usize, index: usize) {
        let state = &self.routers[router];
        let Some(confirmed) = state.confirmed else { return };
        let (querier, incarnation, query_time, received) = state.received[index];
        let query = FreshnessQuery { incarnation, sent_at: instant(query_time) };
        let received = ReceivedQuery { query, received: instant(received) };
        let offset = received.offset_to(instant(confirmed)).0;
        let report = ConfirmationReport {
            to: querier,
            incarnation,
            query_time,
            offset,
            version: state.version,
        };
        if !self.reports.contains(&report) {
            self.reports.push(report);
        }
    }

    fn deliver(&mut self, index: usize, fault: InjectedFault) {
        let ConfirmationReport { to, incarnation, query_time, offset, version } =
            self.reports[index].clone();
        let now = instant(self.clock(to));
        let state = &self.routers[to];
        let accepted = (incarnation == state.incarnation || fault == InjectedFault::AnyIncarnation)
            && (version == state.version || fault == InjectedFault::AnyVersion);
        if !accepted {
            return;
        }
        let query_time =
            if fault == InjectedFault::TimestampedByArrival { now } else { instant(query_time) };
        let query = FreshnessQuery { incarnation, sent_at: query_time };
        let known = ReportedOffset(offset).on_querier_clock(query, now);
        let known = known.map(|known| known.0.as_millis() as u64);
        self.routers[to].confirmed = self.routers[to].confirmed.max(known);
    }

    /// Restarts a router, whose clock is reset and may show an earlier time. This takes one step; the source
    /// is read at its start.
    fn restart(&mut self, router: usize) {
        let version = self.newest();
        self.now += STEP;
        let state = &mut self.routers[router];
        state.incarnation += 1;
        state.clock = 10_000;
        state.version = version;
        state.confirmed = None;
        state.received.clear();
        state.reading = None;
    }

    /// Returns whether each router's configuration was the newest at its confirmed time.
    fn is_sound(&self) -> bool {
        (0..ROUTERS).all(|router| {
            let state = &self.routers[router];
            let Some(confirmed) = state.confirmed else { return true };
            let Some(moment) = confirmed.checked_sub(state.clock) else { return true };
            moment <= self.now && (state.version == 2 || moment < CHANGED_AT)
        })
    }
}

/// Executes all runs; returns whether each stayed sound.
fn all_runs_are_sound(fault: InjectedFault) -> bool {
    let mut simulations = HashSet::from([Simulation::new()]);
    for _ in 0..DEPTH {
        let mut next = HashSet::new();
        for simulation in &simulations {
            for action in simulation.actions() {
                let mut after = simulation.clone();
                after.apply(action, fault);
                if !after.is_sound() {
                    return false;
                }
                next.insert(after);
            }
        }
        simulations = next;
    }
    true
}

#[test]
fn confirmations_never_exceed_the_true_freshness() {
    assert!(all_runs_are_sound(InjectedFault::Nothing));
}

#[test]
fn report_timestamped_by_arrival_is_detected() {
    assert!(!all_runs_are_sound(InjectedFault::TimestampedByArrival));
}

#[test]
fn report_of_another_version_is_detected() {
    assert!(!all_runs_are_sound(InjectedFault::AnyVersion));
}

#[test]
fn read_timestamped_by_its_answer_is_detected() {
    assert!(!all_runs_are_sound(InjectedFault::ReadByArrival));
}

#[test]
fn report_to_an_earlier_incarnation_is_detected() {
    assert!(!all_runs_are_sound(InjectedFault::AnyIncarnation));
}

#[test]
fn offsets_are_rounded_to_the_past() {
    let query = FreshnessQuery { incarnation: 1, sent_at: instant(5_000) };
    for (received, known) in [(900_400, 900_300), (900_400, 901_700), (900_999, 901_000)] {
        let received = BootInstant(Duration::from_micros(received * 1_000 + 1));
        let later = BootInstant(Duration::from_micros(known * 1_000 + 999));
        let offset = ReceivedQuery { query, received }.offset_to(later);
        let converted = offset.on_querier_clock(query, instant(1_000_000)).unwrap();
        let exact =
            query.sent_at.0.as_secs_f64() + later.0.as_secs_f64() - received.0.as_secs_f64();
        assert!(converted.0.as_secs_f64() <= exact && exact - converted.0.as_secs_f64() < 0.003);
    }
    assert_eq!(ReportedOffset(i64::MIN).on_querier_clock(query, instant(6_000)), None);
    assert_eq!(
        ReportedOffset(i64::MAX).on_querier_clock(query, instant(6_000)),
        Some(instant(6_000))
    );
}
