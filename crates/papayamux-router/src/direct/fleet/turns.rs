//! Requests that wait for a place at a service's servers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_coordination::server_places::{free_places, ServerWork};
use papayamux_coordination::service_line::{LineArrival, LineRefusal, LineRequest};
use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{RouteId, ServiceId};
use papayamux_transport::shutdown::ShutdownSignal;

use super::Fleet;

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
        self.decided.trigger();
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
    /// Waits until there is a place for a request, or tells that there will be none in time. Returns
    /// how long it waited, nothing where it went at once.
    pub(in crate::direct) async fn wait_for_turn(
        &self,
        service: &ServiceId,
        request: LineRequest,
    ) -> Result<Option<Duration>, LineRefusal> {
        if !self.uses(Mechanism::Line) {
            return Ok(None);
        }
        let now = Instant::now();
        let turn = Rc::new(Turn::default());
        let arrival = {
            let places = self.free_places(service, now);
            let mut lines = self.lines.borrow_mut();
            let line = lines.entry(service.clone()).or_default();
            line.arrive(request, turn.clone(), places)
        };
        let expected = match arrival {
            LineArrival::Goes => return Ok(None),
            LineArrival::TurnedAway(refusal) => return Err(refusal),
            LineArrival::Waits(wait) => wait,
        };
        let guard = LineGuard { fleet: self, service, turn: &turn };
        turn.decided.triggered().await;
        drop(guard);
        match turn.outcome.get() {
            Some(TurnOutcome::TurnedAway(refusal)) => Err(refusal),
            Some(TurnOutcome::Called) | None => {
                self.metrics.note_promise(expected, now.elapsed());
                Ok(Some(now.elapsed()))
            }
        }
    }

    /// How long ago a caller on a route first asked, as far as its deadline shows.
    pub(in crate::direct) fn asked_before(&self, route: &RouteId, deadline: Duration) -> Duration {
        if !self.uses(Mechanism::UsualDeadline) {
            return Duration::ZERO;
        }
        self.deadlines.borrow_mut().entry(route.clone()).or_default().note(deadline)
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
        let serving = serving.filter(|server| self.takes_requests(server));
        let (mut sound, mut held, mut resting) = (None, None, None);
        for server in serving {
            if self.rests(server, now) {
                resting = Some(0);
                continue;
            }
            let places = self.places_at(server, now);
            let sum = match self.evidence.borrow().standing(&server.id, now) {
                ServerStanding::Held => &mut held,
                ServerStanding::Good | ServerStanding::OnTrial => &mut sound,
            };
            *sum = Some(sum.unwrap_or(0u32).saturating_add(places));
        }
        sound.or(held).or(resting).unwrap_or(u32::MAX)
    }

    /// The places that are free at one server.
    pub(super) fn places_at(&self, server: &BackendServer, now: Instant) -> u32 {
        let work = match self.engine_profile(&server.service) {
            Some(_) => ServerWork::Engine,
            None => ServerWork::Plain,
        };
        let load = self.load_at(server, now);
        let waiting = self.queue_reports.borrow().waiting(&server.id, now);
        let places = free_places(work, server.slots, load, waiting, &self.speed(server));
        self.send_room(server, now).at_most(places)
    }
}
