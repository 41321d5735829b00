//! Requests that wait for a slot at the servers of a service.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::server_evidence::ServerStanding;
use papayamux_coordination::server_slots::{free_slots, ServerWork};
use papayamux_coordination::service_queue::{
    EnqueueOutcome, QueueRefusal, QueuedRequest, ServiceQueue,
};
use papayamux_state::backend::BackendServer;
use papayamux_state::ids::{RouteId, ServiceId};
use papayamux_transport::shutdown::ShutdownSignal;

use super::shared_queues::SharedWait;
use super::{Fleet, OwnerKnowledge, ServerFilter, SharedSlot};

/// A request in the queue.
#[derive(Debug, Default)]
pub(in crate::direct) struct QueueTicket {
    outcome: RefCell<Option<QueueOutcome>>,
    decided: ShutdownSignal,
}

/// Two entries are equal only if they are the same entry.
impl PartialEq for QueueTicket {
    fn eq(&self, other: &Self) -> bool {
        std::ptr::eq(self, other)
    }
}

#[derive(Debug, Clone)]
enum QueueOutcome {
    Dispatched,
    Refused(QueueRefusal),
}

impl QueueTicket {
    fn decide(&self, outcome: QueueOutcome) {
        *self.outcome.borrow_mut() = Some(outcome);
        self.decided.trigger();
    }
}

/// Removes a request from the queue when its caller disconnects.
struct QueueGuard<'a> {
    fleet: &'a Fleet,
    service: &'a ServiceId,
    ticket: &'a Rc<QueueTicket>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut queues = self.fleet.queues.borrow_mut();
        let Some(service_queue) = queues.get_mut(self.service) else { return };
        match &*self.ticket.outcome.borrow() {
            Some(QueueOutcome::Dispatched) => service_queue.release_reservation(),
            Some(QueueOutcome::Refused(_)) => {}
            None => {
                service_queue.remove(self.ticket);
            }
        }
    }
}

/// The admission of a request.
#[derive(Default)]
pub(in crate::direct) struct SlotGrant {
    /// The duration of the wait; `None` if the request was admitted at once.
    pub waited: Option<Duration>,
    /// The slot that the request holds in the shared queue of its service; `None` if it was
    /// admitted by this router alone.
    pub slot: Option<SharedSlot>,
}

/// The refusal of a request that would have no slot on time.
#[derive(Debug, Clone)]
pub(in crate::direct) struct SlotRefusal {
    /// The details.
    pub refusal: QueueRefusal,
    /// What decided if it was the owner of a shared queue.
    pub knowledge: Option<OwnerKnowledge>,
}

impl Fleet {
    /// Waits until there is a slot for a request, or fails if there will be none on time. The
    /// request waits in the shared queue of its service if that is short of slots.
    pub(in crate::direct) async fn wait_for_slot(
        self: &Rc<Self>,
        service: &ServiceId,
        request: QueuedRequest,
        filter: ServerFilter<'_>,
    ) -> Result<SlotGrant, SlotRefusal> {
        if !self.uses(Mechanism::Line) {
            return Ok(SlotGrant::default());
        }
        let begun_at = Instant::now();
        match self.wait_in_shared_queue(service, &request, filter).await {
            SharedWait::Granted(slot) => {
                return Ok(SlotGrant { waited: Some(begun_at.elapsed()), slot: Some(slot) });
            }
            SharedWait::Refused(refusal, knowledge) => {
                return Err(SlotRefusal { refusal, knowledge });
            }
            SharedWait::Unavailable => {}
        }
        let mut request = request;
        request.time.time_left = request.time.time_left.saturating_sub(begun_at.elapsed());
        let waited = self.wait_in_own_queue(service, request).await;
        match waited {
            Ok(waited) => Ok(SlotGrant { waited, slot: None }),
            Err(refusal) => Err(SlotRefusal { refusal, knowledge: None }),
        }
    }

    async fn wait_in_own_queue(
        &self,
        service: &ServiceId,
        request: QueuedRequest,
    ) -> Result<Option<Duration>, QueueRefusal> {
        let now = Instant::now();
        let ticket = Rc::new(QueueTicket::default());
        let arrival = {
            let open_slots = self.free_slots(service, now);
            let mut queues = self.queues.borrow_mut();
            let service_queue =
                queues.entry(service.clone()).or_insert_with(|| self.new_service_queue());
            service_queue.set_shared(self.ledger.borrow().reporting() > 0);
            let arrival = service_queue.enqueue(request, ticket.clone(), open_slots);
            self.refuse_displaced(service_queue);
            arrival
        };
        let expected = match arrival {
            EnqueueOutcome::Admitted => return Ok(None),
            EnqueueOutcome::Refused(refusal) => return Err(refusal),
            EnqueueOutcome::Queued(wait) => wait,
        };
        let guard = QueueGuard { fleet: self, service, ticket: &ticket };
        ticket.decided.triggered().await;
        drop(guard);
        let outcome = ticket.outcome.borrow().clone();
        match outcome {
            Some(QueueOutcome::Refused(refusal)) => Err(refusal),
            Some(QueueOutcome::Dispatched) | None => {
                self.metrics.record_wait_ratio(expected, now.elapsed());
                Ok(Some(now.elapsed()))
            }
        }
    }

    /// Creates the queue of a service.
    pub(super) fn new_service_queue(&self) -> ServiceQueue<Rc<QueueTicket>> {
        if self.uses(Mechanism::Displacement) {
            ServiceQueue::with_displacement()
        } else {
            ServiceQueue::default()
        }
    }

    fn refuse_displaced(&self, service_queue: &mut ServiceQueue<Rc<QueueTicket>>) {
        for (ticket, refusal) in service_queue.take_displaced() {
            self.metrics.displaced_requests.inc();
            ticket.decide(QueueOutcome::Refused(refusal));
        }
    }

    /// Returns the number of refusals that were not logged since the last one if another one may be
    /// logged.
    pub(in crate::direct) fn refusals_to_log(&self) -> Option<u64> {
        self.refusal_log_budget.borrow_mut().next(Instant::now())
    }

    /// Returns how long ago a caller on a route first sent its request, as far as the deadline
    /// shows.
    pub(in crate::direct) fn since_first_attempt(
        &self,
        route: &RouteId,
        deadline: Duration,
    ) -> Duration {
        if !self.uses(Mechanism::UsualDeadline) {
            return Duration::ZERO;
        }
        self.deadlines.borrow_mut().entry(route.clone()).or_default().record(deadline)
    }

    /// Dispatches the queued requests of a service to free slots.
    pub(super) fn dispatch_queued(&self, service: &ServiceId) {
        let mut queues = self.queues.borrow_mut();
        let Some(service_queue) =
            queues.get_mut(service).filter(|service_queue| !service_queue.is_empty())
        else {
            return;
        };
        let open_slots = self.free_slots(service, Instant::now());
        // Other routers see the same free slots: each takes its share and checks again soon.
        let routers = u32::try_from(self.ledger.borrow().reporting() + 1).unwrap_or(u32::MAX);
        for ticket in service_queue.dispatch(open_slots, open_slots.div_ceil(routers)) {
            ticket.decide(QueueOutcome::Dispatched);
        }
    }

    /// Refuses queued requests that can't be served on time, and dispatches those with a free slot.
    pub(in crate::direct) fn update_queues(&self) {
        let now = Instant::now();
        let mut waiting = Vec::new();
        for (service, service_queue) in self.queues.borrow_mut().iter_mut() {
            for (ticket, refusal) in service_queue.take_overdue(now) {
                ticket.decide(QueueOutcome::Refused(refusal));
            }
            if !service_queue.is_empty() {
                waiting.push(service.clone());
            }
        }
        waiting.iter().for_each(|service| self.dispatch_queued(service));
    }

    /// Returns whether a service has no slot left for first attempts at this router.
    pub(super) fn is_contended(&self, service: &ServiceId, now: Instant) -> bool {
        let queues = self.queues.borrow();
        let has_waiting =
            queues.get(service).is_some_and(|service_queue| !service_queue.is_empty());
        has_waiting || self.free_slots(service, now) == 0
    }

    /// Returns how many requests the servers of a service can take now without a long wait, as far
    /// as is known. A service without any server to count has no limit here.
    fn free_slots(&self, service: &ServiceId, now: Instant) -> u32 {
        let presence = self.presence.borrow();
        let serving = presence.catalog().of_service(service);
        let serving = serving.filter(|server| self.takes_requests(server));
        let (mut healthy, mut ejected, mut backing_off) = (None, None, None);
        for server in serving {
            if self.is_backing_off(server, now) {
                backing_off = Some(0);
                continue;
            }
            let open_slots = self.free_slots_at(server, now);
            let sum = match self.evidence.borrow().standing(&server.id, now) {
                ServerStanding::Ejected => &mut ejected,
                ServerStanding::Good | ServerStanding::HalfOpen => &mut healthy,
            };
            *sum = Some(sum.unwrap_or(0u32).saturating_add(open_slots));
        }
        healthy.or(ejected).or(backing_off).unwrap_or(u32::MAX)
    }

    /// Returns the number of free slots of a server.
    pub(super) fn free_slots_at(&self, server: &BackendServer, now: Instant) -> u32 {
        let work = match self.engine_profile(&server.service) {
            Some(_) => ServerWork::Engine,
            None => ServerWork::Plain,
        };
        let load = self.load_at(server, now);
        let waiting = self.queue_reports.borrow().waiting(&server.id, now);
        let open_slots = free_slots(work, server.slots, load, waiting, &self.speed(server, now));
        self.send_quota(server, now).limit_slots(open_slots)
    }
}
