//! The last server of a model never stops serving it, in a small model of a fleet. Agents act in any order
//! and on outdated answers, lose their state in restarts, and their last orders reach the engines late.

#![allow(clippy::unwrap_used, reason = "a test, which may panic")]

use std::cell::Cell;
use std::time::{Duration, Instant};

use bolero::{check, TypeGenerator};
use papayamux_coordination::orders::{required_servers, ServingEvidence, StopTracker};
use papayamux_protocol::serving::ServingRefusal;
use papayamux_state::ids::ServerId;
use papayamux_state::weights::{WeightsKind, WeightsRef};

/// Number of inputs per property. Trying them takes at least a second in a debug build.
const GENERATED_INPUTS: usize = 50_000;

const EVIDENCE_TTL: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, TypeGenerator)]
enum FleetAction {
    BeginStop { server: u8 },
    Query { server: u8, other: u8 },
    Stop { server: u8 },
    DeliverOrder { server: u8 },
    CancelStop { server: u8 },
    RestartAgent { server: u8 },
    Wait { millis: u16 },
}

struct ModelAgent {
    name: ServerId,
    tracker: StopTracker,
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
        self.loaded && !self.tracker.has_stopped(weights)
    }
}

impl ModelFleet {
    fn new(size: usize) -> Self {
        let start = Instant::now();
        let agents = (0..size).map(|index| ModelAgent {
            name: format!("engine-{index}").parse().unwrap(),
            tracker: StopTracker::new(EVIDENCE_TTL, start),
            evidence: Vec::new(),
            loaded: true,
            ordered: None,
        });
        let weights = WeightsRef { kind: WeightsKind::Model, name: "itinerary".to_string() };
        Self { agents: agents.collect(), weights, now: start + EVIDENCE_TTL }
    }

    fn serving(&self) -> usize {
        self.agents.iter().filter(|agent| agent.serves(&self.weights)).count()
    }

    fn act(&mut self, action: &FleetAction) {
        let (weights, now, size) = (self.weights.clone(), self.now, self.agents.len());
        let index_of = |server: &u8| usize::from(*server) % size;
        match action {
            FleetAction::BeginStop { server } => {
                self.agents[index_of(server)].tracker.begin_stop(&weights);
            }
            FleetAction::Query { server, other } => self.query(index_of(server), index_of(other)),
            FleetAction::Stop { server } => {
                let agent = &mut self.agents[index_of(server)];
                let needed = required_servers(size - 1);
                if agent.tracker.stop(&weights, &agent.evidence, needed, || now) {
                    agent.ordered.get_or_insert(now);
                }
            }
            FleetAction::DeliverOrder { server } => {
                let agent = &mut self.agents[index_of(server)];
                agent.loaded &= agent.ordered.take().is_none();
            }
            FleetAction::CancelStop { server } => {
                let agent = &mut self.agents[index_of(server)];
                if agent.ordered.is_none() {
                    agent.evidence.clear();
                    agent.tracker.resume_serving(&weights);
                }
            }
            FleetAction::RestartAgent { server } => {
                let agent = &mut self.agents[index_of(server)];
                agent.tracker = StopTracker::new(EVIDENCE_TTL, now);
                agent.evidence.clear();
            }
            FleetAction::Wait { millis } => {
                self.wait(Duration::from_millis(u64::from(*millis) / 8))
            }
        }
    }

    fn query(&mut self, server: usize, other: usize) {
        let wants_stop = self.agents[server].tracker.stopping().next().is_some();
        let answer = &self.agents[other];
        let answered = answer.tracker.answer(&self.weights, answer.loaded, self.now);
        if server != other && wants_stop && answered.is_ok() {
            let sender = answer.name.clone();
            let evidence = &mut self.agents[server].evidence;
            evidence.retain(|older| older.server != sender);
            evidence.push(ServingEvidence { server: sender, until: self.now + EVIDENCE_TTL });
        }
    }

    /// Advances the time. Orders in flight arrive within the startup delay of a restarted agent.
    fn wait(&mut self, time: Duration) {
        self.now += time;
        for agent in &mut self.agents {
            if agent.ordered.is_some_and(|ordered| ordered + EVIDENCE_TTL <= self.now) {
                agent.ordered = None;
                agent.loaded = false;
            }
        }
    }
}

#[test]
fn required_servers_always_serve() {
    check!().with_iterations(GENERATED_INPUTS).with_type::<(u8, Vec<FleetAction>)>().for_each(
        |(size, actions)| {
            let mut fleet = ModelFleet::new(usize::from(size % 5 + 1));
            let required = required_servers(fleet.agents.len() - 1);
            for action in actions {
                fleet.act(action);
                assert!(
                    fleet.serving() >= required,
                    "{} of {}",
                    fleet.serving(),
                    fleet.agents.len()
                );
            }
        },
    );
}

#[test]
fn servers_stop_one_by_one_except_the_last() {
    let mut fleet = ModelFleet::new(2);
    for server in [0_u8, 1, 0, 1] {
        fleet.act(&FleetAction::BeginStop { server });
        fleet.act(&FleetAction::Query { server, other: 1 - server });
        fleet.act(&FleetAction::Stop { server });
        fleet.act(&FleetAction::DeliverOrder { server });
    }
    assert_eq!(fleet.serving(), 1);
}

#[test]
fn stop_paused_past_its_evidence_is_reverted() {
    let now = Instant::now();
    let weights = WeightsRef { kind: WeightsKind::Model, name: "itinerary".to_string() };
    let mut tracker = StopTracker::new(EVIDENCE_TTL, now);
    assert_eq!(tracker.answer(&weights, true, now), Err(ServingRefusal::JustStarted));
    assert_eq!(tracker.answer(&weights, true, now + EVIDENCE_TTL), Ok(()));
    tracker.begin_stop(&weights);
    let refused = tracker.answer(&weights, true, now + EVIDENCE_TTL);
    assert_eq!(refused, Err(ServingRefusal::StopsItself));
    let server: ServerId = "engine-1".parse().unwrap();
    let evidence = [ServingEvidence { server, until: now + EVIDENCE_TTL }];
    let clock_reads = Cell::new(0);
    let clock = || {
        clock_reads.set(clock_reads.get() + 1);
        now + EVIDENCE_TTL * (clock_reads.get() - 1)
    };
    assert!(!tracker.stop(&weights, &evidence, 1, clock));
    assert!(!tracker.has_stopped(&weights));
    assert!(tracker.stop(&weights, &evidence, 1, || now));
}
