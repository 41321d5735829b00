//! Evacuations of one failure domain, as known to two readers and their follower.
//!
//! The test executes every order of a few writes, reads, reports, losses and restarts, with reads and
//! reports that arrive late. After each step, a router's known evacuations must be those that the source
//! held at the router's position.

use std::collections::HashSet;

use papayamux_coordination::domain_evacuations::DomainEvacuations;
use papayamux_coordination::fleet_knowledge::{ReportedView, SourceView, ViewInForce};
use papayamux_state::boot_time::BootInstant;
use papayamux_state::evacuation::EvacuationOrder;
use papayamux_state::service_config::ConfigVersion;
use papayamux_state::source::{SourceEra, SourcePosition};

const DOMAIN: &str = "hall";
/// Writes of the operator: the start, the end and a new start of an evacuation in quick succession.
const WRITES: [bool; 3] = [true, false, true];
/// Number of routers that read the source. The third one only receives reports.
const READERS: usize = 2;
const ROUTERS: usize = 3;
const DEPTH: usize = 7;
/// Maximum number of messages in flight. More would only repeat what fewer show.
const MAX_MESSAGES: usize = 2;

fn position_at(revision: u64) -> SourcePosition {
    SourcePosition::new(SourceEra::default(), revision)
}

/// A rule that a run violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    /// A report is applied regardless of its position.
    AnyPosition,
    /// A report contains orders but not their ends.
    NoEnds,
    /// A read is applied even if reports have moved the view further in the meantime.
    LateReads,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Router {
    position: u64,
    evacuated: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message {
    Read { to: usize, read_from: u64, at: u64 },
    Report { to: usize, position: u64, evacuated: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Simulation {
    written: usize,
    routers: [Router; ROUTERS],
    messages: Vec<Message>,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Write,
    Read(usize),
    SendReport(usize, usize),
    Deliver(usize),
    Lose(usize),
    Restart(usize),
}

/// Returns whether the source holds the order at a position.
fn held_at(position: u64) -> bool {
    position.checked_sub(1).is_some_and(|last| WRITES[last as usize])
}

fn orders(evacuated: bool, position: u64) -> Vec<EvacuationOrder> {
    let order =
        EvacuationOrder { domain: DOMAIN.parse().unwrap(), position: position_at(position) };
    evacuated.then_some(order).into_iter().collect()
}

impl Router {
    /// Returns the real types in the state of this router.
    fn state(&self) -> (SourceView, DomainEvacuations) {
        let (mut view, mut evacuations) = (SourceView::default(), DomainEvacuations::default());
        view.record_full_read(position_at(self.position));
        evacuations.replace(orders(self.evacuated, self.position));
        (view, evacuations)
    }

    fn take(&mut self, view: SourceView, evacuations: &DomainEvacuations) {
        self.position = view.position().unwrap().revision;
        self.evacuated = evacuations.covers(&DOMAIN.parse().unwrap());
    }
}

impl Simulation {
    fn new() -> Self {
        let router = Router { position: 0, evacuated: false };
        let routers = [router.clone(), router.clone(), router];
        Self { written: 0, routers, messages: Vec::new() }
    }

    fn position(&self) -> u64 {
        self.written as u64
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.written < WRITES.len() {
            actions.push(Action::Write);
        }
        if self.messages.len() < MAX_MESSAGES {
            actions.extend((0..READERS).map(Action::Read));
            actions.extend(
                [(0, 2), (1, 2), (0, 1), (2, 0)].map(|(from, to)| Action::SendReport(from, to)),
            );
        }
        actions.extend((0..self.messages.len()).map(Action::Deliver));
        actions.extend((0..self.messages.len()).map(Action::Lose));
        actions.extend([Action::Restart(0), Action::Restart(2)]);
        actions
    }

    fn act(&mut self, action: Action, fault: InjectedFault) {
        match action {
            Action::Write => self.written += 1,
            Action::Read(to) => {
                let (read_from, at) = (self.routers[to].position, self.position());
                self.messages.push(Message::Read { to, read_from, at });
            }
            Action::SendReport(from, to) => {
                let Router { position, evacuated } = self.routers[from].clone();
                self.messages.push(Message::Report { to, position, evacuated });
            }
            Action::Deliver(index) => match self.messages.remove(index) {
                Message::Read { to, read_from, at } => self.take_read(to, read_from, at, fault),
                Message::Report { to, position, evacuated } => {
                    self.take_report(to, position, evacuated, fault);
                }
            },
            Action::Lose(index) => drop(self.messages.remove(index)),
            Action::Restart(index) => {
                // The router makes a full read, and messages to its earlier incarnation are dropped.
                let position = self.position();
                self.routers[index] = Router { position, evacuated: held_at(position) };
                self.messages.retain(|message| match message {
                    Message::Read { to, .. } | Message::Report { to, .. } => *to != index,
                });
            }
        }
    }

    fn take_read(&mut self, to: usize, read_from: u64, at: u64, fault: InjectedFault) {
        let (mut view, mut evacuations) = self.routers[to].state();
        let known = view.record_changes(position_at(at)).revision;
        for position in read_from + 1..=at {
            if position > known || fault == InjectedFault::LateReads {
                match held_at(position) {
                    true => drop(evacuations.begin(orders(true, position).remove(0))),
                    false => drop(evacuations.end(&DOMAIN.parse().unwrap())),
                }
            }
        }
        self.routers[to].take(view, &evacuations);
    }

    fn take_report(&mut self, to: usize, position: u64, evacuated: bool, fault: InjectedFault) {
        let (mut view, mut evacuations) = self.routers[to].state();
        let report = ReportedView {
            position: position_at(position),
            after: Some(position_at(0)),
            version: ConfigVersion(1),
            known: BootInstant(std::time::Duration::ZERO),
        };
        let in_force = ViewInForce { version: ConfigVersion(1), confirmed: None };
        let verdict = view.evaluate_report(report, in_force);
        if verdict.takes_servers || fault == InjectedFault::AnyPosition {
            match fault == InjectedFault::NoEnds && !evacuated {
                true => {}
                false => drop(evacuations.replace(orders(evacuated, position))),
            }
        }
        self.routers[to].take(view, &evacuations);
    }

    fn is_sound(&self) -> bool {
        self.routers.iter().all(|router| router.evacuated == held_at(router.position))
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
                after.act(action, fault);
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
fn known_evacuations_match_the_source_at_each_position() {
    assert!(all_runs_are_sound(InjectedFault::Nothing));
}

#[test]
fn injected_faults_are_detected() {
    for fault in [InjectedFault::AnyPosition, InjectedFault::NoEnds, InjectedFault::LateReads] {
        assert!(!all_runs_are_sound(fault), "{fault:?}");
    }
}
