//! The last server of a model is never taken out, in a small model of a fleet: agents act in any
//! order and on old answers, restart and forget, and their last orders reach the engines late.

#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use std::cell::Cell;
use std::time::{Duration, Instant};

use bolero::{check, TypeGenerator};
use papayamux_coordination::orders::{needed_keepers, ServingEvidence, StopBook};
use papayamux_protocol::serving::ServingRefusal;
use papayamux_state::ids::ServerId;
use papayamux_state::weights::{WeightsKind, WeightsRef};

/// Inputs tried by each property: at least as many as a second takes in a debug build.
const GENERATED_INPUTS: usize = 50_000;

const EVIDENCE_FOR: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, TypeGenerator)]
enum FleetAction {
    BeginStop { server: u8 },
    Ask { server: u8, other: u8 },
    Stop { server: u8 },
    OrderArrives { server: u8 },
    GiveUp { server: u8 },
    RestartAgent { server: u8 },
    Wait { millis: u16 },
}

struct ModelAgent {
    name: ServerId,
    book: StopBook,
    evidence: Vec<ServingEvidence>,
    loaded: bool,
    ordered: Option<Instant>,
}

struct ModelFleet {
    agents: Vec<ModelAgent>,
    weights: WeightsRef,
    now: Instant,
}

impl ModelAgent {
    fn serves(&self, weights: &WeightsRef) -> bool {
        self.loaded && !self.book.has_stopped(weights)
    }
}

impl ModelFleet {
    fn new(size: usize) -> Self {
        let start = Instant::now();
        let agents = (0..size).map(|index| ModelAgent {
            name: format!("engine-{index}").parse().unwrap(),
            book: StopBook::new(EVIDENCE_FOR, start),
            evidence: Vec::new(),
            loaded: true,
            ordered: None,
        });
        let weights = WeightsRef { kind: WeightsKind::Model, name: "itinerary".to_string() };
        Self { agents: agents.collect(), weights, now: start + EVIDENCE_FOR }
    }

    fn serving(&self) -> usize {
        self.agents.iter().filter(|agent| agent.serves(&self.weights)).count()
    }

    fn act(&mut self, action: &FleetAction) {
        let (weights, now, size) = (self.weights.clone(), self.now, self.agents.len());
        let place = |server: &u8| usize::from(*server) % size;
        match action {
            FleetAction::BeginStop { server } => {
                self.agents[place(server)].book.begin_stop(&weights);
            }
            FleetAction::Ask { server, other } => self.ask(place(server), place(other)),
            FleetAction::Stop { server } => {
                let agent = &mut self.agents[place(server)];
                let needed = needed_keepers(size - 1);
                if agent.book.stop(&weights, &agent.evidence, needed, || now) {
                    agent.ordered.get_or_insert(now);
                }
            }
            FleetAction::OrderArrives { server } => {
                let agent = &mut self.agents[place(server)];
                agent.loaded &= agent.ordered.take().is_none();
            }
            FleetAction::GiveUp { server } => {
                let agent = &mut self.agents[place(server)];
                if agent.ordered.is_none() {
                    agent.evidence.clear();
                    agent.book.serve_on(&weights);
                }
            }
            FleetAction::RestartAgent { server } => {
                let agent = &mut self.agents[place(server)];
                agent.book = StopBook::new(EVIDENCE_FOR, now);
                agent.evidence.clear();
            }
            FleetAction::Wait { millis } => {
                self.wait(Duration::from_millis(u64::from(*millis) / 8))
            }
        }
    }

    fn ask(&mut self, server: usize, other: usize) {
        let wants_stop = self.agents[server].book.stopping().next().is_some();
        let answer = &self.agents[other];
        let answered = answer.book.answer(&self.weights, answer.loaded, self.now);
        if server != other && wants_stop && answered.is_ok() {
            let word = answer.name.clone();
            let evidence = &mut self.agents[server].evidence;
            evidence.retain(|older| older.server != word);
            evidence.push(ServingEvidence { server: word, until: self.now + EVIDENCE_FOR });
        }
    }

    /// Orders on their way arrive within the time for which a new agent keeps quiet.
    fn wait(&mut self, time: Duration) {
        self.now += time;
        for agent in &mut self.agents {
            if agent.ordered.is_some_and(|ordered| ordered + EVIDENCE_FOR <= self.now) {
                agent.ordered = None;
                agent.loaded = false;
            }
        }
    }
}

#[test]
fn half_of_the_servers_always_serve() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<(u8, Vec<FleetAction>)>().for_each(
        |(size, actions)| {
            let mut fleet = ModelFleet::new(usize::from(size % 5 + 1));
            let least = needed_keepers(fleet.agents.len() - 1);
            for action in actions {
                fleet.act(action);
                assert!(fleet.serving() >= least, "{} of {}", fleet.serving(), fleet.agents.len());
            }
        },
    );
}

#[test]
fn one_after_the_other_stops_and_the_last_does_not() {
    let mut fleet = ModelFleet::new(2);
    for server in [0_u8, 1, 0, 1] {
        fleet.act(&FleetAction::BeginStop { server });
        fleet.act(&FleetAction::Ask { server, other: 1 - server });
        fleet.act(&FleetAction::Stop { server });
        fleet.act(&FleetAction::OrderArrives { server });
    }
    assert_eq!(fleet.serving(), 1);
}

#[test]
fn a_stop_that_was_paused_past_its_evidence_is_taken_back() {
    let now = Instant::now();
    let weights = WeightsRef { kind: WeightsKind::Model, name: "itinerary".to_string() };
    let mut book = StopBook::new(EVIDENCE_FOR, now);
    assert_eq!(book.answer(&weights, true, now), Err(ServingRefusal::JustStarted));
    assert_eq!(book.answer(&weights, true, now + EVIDENCE_FOR), Ok(()));
    book.begin_stop(&weights);
    let refused = book.answer(&weights, true, now + EVIDENCE_FOR);
    assert_eq!(refused, Err(ServingRefusal::StopsItself));
    let server: ServerId = "engine-1".parse().unwrap();
    let evidence = [ServingEvidence { server, until: now + EVIDENCE_FOR }];
    let looks = Cell::new(0);
    let clock = || {
        looks.set(looks.get() + 1);
        now + EVIDENCE_FOR * (looks.get() - 1)
    };
    assert!(!book.stop(&weights, &evidence, 1, clock));
    assert!(!book.has_stopped(&weights));
    assert!(book.stop(&weights, &evidence, 1, || now));
}
