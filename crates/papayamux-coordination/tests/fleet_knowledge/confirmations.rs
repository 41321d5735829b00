//! No router takes its configuration for newer than it is, whatever happens to messages and processes.
//!
//! Three routers, each with a clock that runs from another beginning, are taken through every order of
//! reads, questions and statements up to a depth, with statements that are late, lost or doubled, pauses
//! and restarts. The source changes in the middle. After each step, whatever a router takes for confirmed
//! must have been the newest at the moment that it names. Planted faults show that the check finds them.

use std::collections::HashSet;
use std::time::Duration;

use papayamux_coordination::fleet_knowledge::{HeardQuestion, StatedShift};
use papayamux_coordination::peer_vouching::VouchQuestion;
use papayamux_state::boot_time::BootInstant;

const ROUTERS: usize = 3;
/// Steps of one run. Each takes a second of the true time, so that no rounding hides a mistake.
const DEPTH: usize = 7;
const STEP: u64 = 1_000;
/// The true time at which the source changes from version 1 to 2.
const CHANGED: u64 = STEP / 2;
/// Beginnings of the routers' clocks against the true time.
const CLOCKS: [u64; ROUTERS] = [50_000, 1_000_000, 20_000];

/// A rule of the confirmation that a run leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A statement is dated from its arrival.
    DatedByArrival,
    /// A statement of another version counts.
    AnyVersion,
    /// A statement to an earlier life counts.
    AnyLife,
    /// A read is dated from its answer.
    ReadByArrival,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RouterState {
    life: u64,
    clock: u64,
    version: u64,
    confirmed: Option<u64>,
    /// Questions of others that it has heard: the asker, its life, when it asked and when this was heard.
    heard: Vec<(usize, u64, u64, u64)>,
    /// When the read under way was sent and what the source had then.
    reading: Option<(u64, u64)>,
}

/// A statement under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Statement {
    to: usize,
    life: u64,
    asked: u64,
    shift: i64,
    version: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    routers: Vec<RouterState>,
    statements: Vec<Statement>,
    questions: Vec<(usize, usize, u64, u64)>,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Wait,
    Send(usize),
    Receive(usize),
    Ask(usize, usize),
    Hear(usize),
    State(usize, usize),
    /// Delivers a statement and keeps a copy of it under way; the end of a run loses what is left.
    Deliver(usize),
    Restart(usize),
}

fn instant(millis: u64) -> BootInstant {
    BootInstant(Duration::from_millis(millis))
}

impl World {
    fn new() -> Self {
        let router = |clock| RouterState {
            life: 1,
            clock,
            version: 1,
            confirmed: None,
            heard: Vec::new(),
            reading: None,
        };
        let routers = CLOCKS.into_iter().map(router).collect();
        Self { now: 0, routers, statements: Vec::new(), questions: Vec::new() }
    }

    fn newest(&self) -> u64 {
        if self.now >= CHANGED {
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
                // What the third knows it has from the others.
                None if router < 2 => actions.push(Action::Send(router)),
                None => {}
                Some(_) => actions.push(Action::Receive(router)),
            }
            // Of several questions of a router only the last that is heard counts.
            if self.questions.iter().all(|(asker, ..)| *asker != router) {
                actions.push(Action::Ask(router, (router + 1) % ROUTERS));
            }
            for question in 0..self.routers[router].heard.len() {
                actions.push(Action::State(router, question));
            }
        }
        actions.extend((0..self.questions.len()).map(Action::Hear));
        actions.extend((0..self.statements.len()).map(Action::Deliver));
        actions.push(Action::Restart(0));
        actions
    }

    fn take(&mut self, action: Action, planted: Planted) {
        match action {
            Action::Wait => self.now += STEP,
            Action::Send(router) => {
                let sent = (self.clock(router), self.newest());
                self.routers[router].reading = Some(sent);
            }
            Action::Receive(router) => {
                let arrived = self.clock(router);
                let Some((sent, version)) = self.routers[router].reading.take() else { return };
                let dated = if planted == Planted::ReadByArrival { arrived } else { sent };
                let state = &mut self.routers[router];
                if version >= state.version {
                    state.version = version;
                    state.confirmed = state.confirmed.max(Some(dated));
                }
            }
            Action::Ask(asker, asked) => {
                let question = (asker, asked, self.routers[asker].life, self.clock(asker));
                self.questions.push(question);
            }
            Action::Hear(index) => {
                let (asker, asked, life, at) = self.questions.remove(index);
                let heard = self.clock(asked);
                self.routers[asked].heard = vec![(asker, life, at, heard)];
            }
            Action::State(router, index) => self.state(router, index),
            Action::Deliver(index) => self.deliver(index, planted),
            Action::Restart(router) => self.restart(router),
        }
    }

    fn state(&mut self, router: usize, index: usize) {
        let state = &self.routers[router];
        let Some(confirmed) = state.confirmed else { return };
        let (asker, life, asked, heard) = state.heard[index];
        let question = VouchQuestion { life, asked: instant(asked) };
        let heard = HeardQuestion { question, heard: instant(heard) };
        let shift = heard.shift_to(instant(confirmed)).0;
        let statement = Statement { to: asker, life, asked, shift, version: state.version };
        if !self.statements.contains(&statement) {
            self.statements.push(statement);
        }
    }

    fn deliver(&mut self, index: usize, planted: Planted) {
        let Statement { to, life, asked, shift, version } = self.statements[index].clone();
        let now = instant(self.clock(to));
        let state = &self.routers[to];
        let accepted = (life == state.life || planted == Planted::AnyLife)
            && (version == state.version || planted == Planted::AnyVersion);
        if !accepted {
            return;
        }
        let asked = if planted == Planted::DatedByArrival { now } else { instant(asked) };
        let question = VouchQuestion { life, asked };
        let known = StatedShift(shift).on_askers_clock(question, now);
        let known = known.map(|known| known.0.as_millis() as u64);
        self.routers[to].confirmed = self.routers[to].confirmed.max(known);
    }

    /// Starts a router again, with a clock that begins anew and may so show an earlier time. That takes a
    /// step, at whose beginning it has read the source.
    fn restart(&mut self, router: usize) {
        let version = self.newest();
        self.now += STEP;
        let state = &mut self.routers[router];
        state.life += 1;
        state.clock = 10_000;
        state.version = version;
        state.confirmed = None;
        state.heard.clear();
        state.reading = None;
    }

    /// Whether each router's configuration was the newest at the moment that it names.
    fn is_sound(&self) -> bool {
        (0..ROUTERS).all(|router| {
            let state = &self.routers[router];
            let Some(confirmed) = state.confirmed else { return true };
            let Some(moment) = confirmed.checked_sub(state.clock) else { return true };
            moment <= self.now && (state.version == 2 || moment < CHANGED)
        })
    }
}

/// Goes through all runs; whether each was sound throughout.
fn all_are_sound(planted: Planted) -> bool {
    let mut worlds = HashSet::from([World::new()]);
    for _ in 0..DEPTH {
        let mut next = HashSet::new();
        for world in &worlds {
            for action in world.actions() {
                let mut after = world.clone();
                after.take(action, planted);
                if !after.is_sound() {
                    return false;
                }
                next.insert(after);
            }
        }
        worlds = next;
    }
    true
}

#[test]
fn nothing_is_taken_for_newer_than_it_is() {
    assert!(all_are_sound(Planted::Nothing));
}

#[test]
fn statement_dated_from_its_arrival_is_found() {
    assert!(!all_are_sound(Planted::DatedByArrival));
}

#[test]
fn statement_of_another_version_is_found() {
    assert!(!all_are_sound(Planted::AnyVersion));
}

#[test]
fn read_dated_from_its_answer_is_found() {
    assert!(!all_are_sound(Planted::ReadByArrival));
}

#[test]
fn statement_to_an_earlier_life_is_found() {
    assert!(!all_are_sound(Planted::AnyLife));
}

#[test]
fn shifts_are_rounded_to_the_past() {
    let question = VouchQuestion { life: 1, asked: instant(5_000) };
    for (heard, known) in [(900_400, 900_300), (900_400, 901_700), (900_999, 901_000)] {
        let heard = BootInstant(Duration::from_micros(heard * 1_000 + 1));
        let later = BootInstant(Duration::from_micros(known * 1_000 + 999));
        let shift = HeardQuestion { question, heard }.shift_to(later);
        let told = shift.on_askers_clock(question, instant(1_000_000)).unwrap();
        let exact = question.asked.0.as_secs_f64() + later.0.as_secs_f64() - heard.0.as_secs_f64();
        assert!(told.0.as_secs_f64() <= exact && exact - told.0.as_secs_f64() < 0.003);
    }
    assert_eq!(StatedShift(i64::MIN).on_askers_clock(question, instant(6_000)), None);
    assert_eq!(
        StatedShift(i64::MAX).on_askers_clock(question, instant(6_000)),
        Some(instant(6_000))
    );
}
