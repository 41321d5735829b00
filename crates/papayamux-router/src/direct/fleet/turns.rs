//! Requests that wait for a place at a service's servers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_coordination::server_places::{free_places, ServerWork};
use papayamux_coordination::service_line::{
    line_patience, FlowKey, LineArrival, LineRefusal, LineRequest,
};
use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::ServiceId;
use papayamux_transport::shutdown::ShutdownSignal;

use super::Fleet;
use crate::direct::call_plan::CallPlan;
use crate::direct::{CallFailure, NotRunReason};

/// One request's wait.
#[derive(Debug, Default)]
pub(in crate::direct) struct Turn {
    outcome: Cell<Option<TurnOutcome>>,
    decided: ShutdownSignal,
}

/// Two waits are the same only where they are one.
impl PartialEq for Turn {
    fn eq(&self, other: &Self) -> bool {
        std::ptr::eq(self, other)
    }
}

#[derive(Debug, Clone, Copy)]
enum TurnOutcome {
    Called,
    TurnedAway(LineRefusal),
}

impl Turn {
    fn decide(&self, outcome: TurnOutcome) {
        self.outcome.set(Some(outcome));
        self.decided.give();
    }
}

/// Takes a request out of the line when its caller leaves.
struct LineGuard<'a> {
    fleet: &'a Fleet,
    service: &'a ServiceId,
    turn: &'a Rc<Turn>,
}

impl Drop for LineGuard<'_> {
    fn drop(&mut self) {
        let mut lines = self.fleet.lines.borrow_mut();
        let Some(line) = lines.get_mut(self.service) else { return };
        match self.turn.outcome.get() {
            Some(TurnOutcome::Called) => line.note_taken(),
            Some(TurnOutcome::TurnedAway(_)) => {}
            None => {
                line.leave(self.turn);
            }
        }
    }
}

impl Fleet {
    /// Waits until there is a place for a request, or tells that there will be none in time.
    pub(in crate::direct) async fn wait_for_turn(
        &self,
        plan: &CallPlan,
    ) -> Result<(), CallFailure> {
        let now = Instant::now();
        let turn = Rc::new(Turn::default());
        let arrival = {
            let request = line_request(plan, self.asked_before(plan));
            let places = self.free_places(&plan.service, now);
            let mut lines = self.lines.borrow_mut();
            let line = lines.entry(plan.service.clone()).or_default();
            line.arrive(request, turn.clone(), places)
        };
        match arrival {
            LineArrival::Goes => return Ok(()),
            LineArrival::TurnedAway(refusal) => return Err(self.turn_away(plan, refusal)),
            LineArrival::Waits => {}
        }
        let guard = LineGuard { fleet: self, service: &plan.service, turn: &turn };
        turn.decided.given().await;
        drop(guard);
        self.metrics().note_wait(plan.kind(), now.elapsed());
        match turn.outcome.get() {
            Some(TurnOutcome::TurnedAway(refusal)) => Err(self.turn_away(plan, refusal)),
            Some(TurnOutcome::Called) | None => Ok(()),
        }
    }

    /// How long ago a request's caller first asked, as far as its deadline shows.
    fn asked_before(&self, plan: &CallPlan) -> Duration {
        let Some(deadline) = plan.call.deadline else { return Duration::ZERO };
        let mut deadlines = self.deadlines.borrow_mut();
        deadlines.entry(plan.route.id.clone()).or_default().note(deadline)
    }

    fn turn_away(&self, plan: &CallPlan, refusal: LineRefusal) -> CallFailure {
        log::info!(
            request:% = plan.call.id, service:% = plan.service,
            wait_ms = refusal.wait.as_millis() as u64,
            waiting = refusal.waiting; "no place in time"
        );
        plan.failure(NotRunReason::Full)
    }

    /// Calls requests that wait for a service with free places.
    pub(super) fn call_waiting(&self, service: &ServiceId) {
        let mut lines = self.lines.borrow_mut();
        let Some(line) = lines.get_mut(service).filter(|line| !line.is_empty()) else { return };
        let places = self.free_places(service, Instant::now());
        // Other routers see the same places: each takes its part, and looks again soon.
        let routers = u32::try_from(self.ledger.borrow().reporting() + 1).unwrap_or(u32::MAX);
        for turn in line.call(places, places.div_ceil(routers)) {
            turn.decide(TurnOutcome::Called);
        }
    }

    /// Turns away who can't be served in time, and calls those for whom there is a place.
    pub(in crate::direct) fn watch_lines(&self) {
        let now = Instant::now();
        let mut waiting = Vec::new();
        for (service, line) in self.lines.borrow_mut().iter_mut() {
            for (turn, refusal) in line.take_overdue(now) {
                turn.decide(TurnOutcome::TurnedAway(refusal));
            }
            if !line.is_empty() {
                waiting.push(service.clone());
            }
        }
        waiting.iter().for_each(|service| self.call_waiting(service));
    }

    /// Requests that the servers of a service can take now without a long wait of their own, as
    /// far as is known. A service with nobody to count at has no bound here.
    fn free_places(&self, service: &ServiceId, now: Instant) -> u32 {
        let presence = self.presence.borrow();
        let serving = presence.catalog().of_service(service);
        let serving = serving.filter(|server| server.phase == ServerPhase::Serving);
        let (mut sound, mut held) = (None, None);
        for server in serving {
            let places = self.places_at(server, now);
            let sum = match self.evidence.borrow().standing(&server.id, now) {
                ServerStanding::Held => &mut held,
                ServerStanding::Good | ServerStanding::OnTrial => &mut sound,
            };
            *sum = Some(sum.unwrap_or(0u32).saturating_add(places));
        }
        sound.or(held).unwrap_or(u32::MAX)
    }

    /// The places that are free at one server.
    pub(super) fn places_at(&self, server: &BackendServer, now: Instant) -> u32 {
        let work = match self.engine_profile(&server.service) {
            Some(_) => ServerWork::Engine,
            None => ServerWork::Plain,
        };
        let load = self.ledger.borrow().total(&server.id);
        let waiting = self.queue_words.borrow().waiting(&server.id, now);
        free_places(work, server.slots, load, waiting)
    }
}

fn line_request(plan: &CallPlan, asked_before: Duration) -> LineRequest {
    let objective = plan.route.objective;
    let first_asked = plan.arrived.checked_sub(asked_before).unwrap_or(plan.arrived);
    LineRequest {
        flow: FlowKey { organisation: plan.organisation().cloned(), priority: plan.priority() },
        work: plan.work(),
        arrived: plan.arrived,
        patience: line_patience(objective, plan.left(), !asked_before.is_zero()),
        due: first_asked + objective,
    }
}
