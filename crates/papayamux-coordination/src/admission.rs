//! An agent's decision to run, queue or refuse a request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use papayamux_protocol::link::{AgentClock, OpenRequest};
use papayamux_state::durations::saturating_millis;
use papayamux_state::ids::{Incarnation, RequestId};
use papayamux_state::load::{GroupId, GroupLoad, LoadFactor, LoadReport};
use papayamux_state::quantities::RequestCount;
use papayamux_state::refusal::RefusalReason;

use crate::admission_ticket::{AdmissionTicket, TicketState};
use crate::fair_queue::{FairQueue, PushOutcome, QueueEntry};
use crate::load_bound::LoadBound;
use crate::seen_requests::SeenRequests;

/// The priority class of calls that a person is waiting for.
pub const TOP_PRIORITY: u32 = 0;
/// One of this many slots is reserved for the top class.
const SLOTS_PER_RESERVED_SLOT: u64 = 8;
/// Time for which slots stay reserved after the last call of the top class.
const RESERVATION_DURATION: Duration = Duration::from_secs(60);
/// Maximum wait that is reported.
const MAX_WAIT_ESTIMATE: Duration = Duration::from_secs(60);
/// Minimum limit on the wait of a queued request, however short its expected wait.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(50);
/// Weight of the latest run in the moving average of run times.
const LATEST_RUN_WEIGHT: f64 = 0.1;

/// The limits on an agent's admissions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionLimits {
    /// Maximum number of running requests, regardless of the load of other servers.
    pub capacity: RequestCount,
    /// Maximum number of queued requests. With 0, a request without a free slot is refused at once.
    pub queue: RequestCount,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// The allowed factor of the load above the mean.
    pub factor: LoadFactor,
}

impl AdmissionLimits {
    /// Creates limits with the given capacity and defaults for the rest.
    pub fn of_capacity(capacity: RequestCount) -> Self {
        Self {
            capacity,
            queue: RequestCount::new(256),
            max_wait: Duration::from_secs(10),
            factor: LoadFactor::DEFAULT,
        }
    }
}

/// Tracks the requests that an agent has admitted.
///
/// A refused request is never run: its id is remembered until its deadline has passed on the
/// agent's clock, and from then on the deadline refuses it.
#[derive(Debug)]
pub struct AdmissionController {
    incarnation: Incarnation,
    limits: AdmissionLimits,
    capacity: Cell<RequestCount>,
    running: Cell<u64>,
    draining: Cell<bool>,
    seen: RefCell<SeenRequests>,
    bound: LoadBound,
    queue: RefCell<FairQueue<RequestId>>,
    tickets: RefCell<HashMap<RequestId, Rc<TicketState>>>,
    clock: Cell<AgentClock>,
    last_top_priority: Cell<Option<AgentClock>>,
    mean_run_ms: Cell<f64>,
}

/// A slot of a running request. Dropping it frees the slot for the next queued request.
#[derive(Debug)]
pub struct AdmissionPermit {
    controller: Rc<AdmissionController>,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.controller.running.set(self.controller.running.get().saturating_sub(1));
        self.controller.grant_slots();
    }
}

/// The decision on a request that was not refused.
#[derive(Debug)]
pub enum Admission {
    /// The request runs now.
    Admitted(AdmissionPermit),
    /// The request is queued.
    Waiting(AdmissionTicket),
}

impl AdmissionController {
    /// Creates a controller for one incarnation of an agent.
    pub fn new(incarnation: Incarnation, limits: AdmissionLimits) -> Rc<Self> {
        Rc::new(Self {
            incarnation,
            limits,
            capacity: Cell::new(limits.capacity),
            running: Cell::new(0),
            draining: Cell::new(false),
            seen: RefCell::default(),
            bound: LoadBound::new(limits.factor),
            queue: RefCell::new(FairQueue::new(limits.queue.get() as usize)),
            tickets: RefCell::default(),
            clock: Cell::default(),
            last_top_priority: Cell::new(None),
            mean_run_ms: Cell::new(0.0),
        })
    }

    /// Refuses new requests from now on. Queued requests were accepted and are still run.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Returns whether the agent refuses new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> RequestCount {
        RequestCount::new(self.running.get())
    }

    /// Ensures that a request which has not arrived yet is refused if it does, until its deadline
    /// refuses it. Returns `false` if the request has arrived, or if its deadline has passed so
    /// that its arrival is unknown.
    pub fn refuse_unseen(&self, id: RequestId, start_before: AgentClock, now: AgentClock) -> bool {
        now < start_before && self.seen.borrow_mut().record(id, start_before, now)
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> RequestCount {
        RequestCount::new(self.queue.borrow().len() as u64)
    }

    /// Sets the batch size of the engine, beyond which the agent runs no more requests at once.
    pub fn set_batch_limit(self: &Rc<Self>, slots: RequestCount) {
        self.capacity.set(self.limits.capacity.min(slots).max(RequestCount::new(1)));
        self.grant_slots();
    }

    /// Records the mean load that a router reports.
    pub fn record_mean_load(self: &Rc<Self>, load: &GroupLoad, now: AgentClock) {
        self.clock.set(self.clock.get().max(now));
        self.bound.record_mean(load, now);
        self.grant_slots();
    }

    /// Records the duration of a run.
    pub fn record_run(&self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64() * 1_000.0;
        let mean = self.mean_run_ms.get();
        self.mean_run_ms.set(mean + LATEST_RUN_WEIGHT * (elapsed - mean));
    }

    /// Returns the load of the server, with the limit that applies in `group`.
    pub fn load(&self, group: Option<GroupId>, now: AgentClock) -> LoadReport {
        let limit = match self.draining.get() {
            true => RequestCount::default(),
            false => self.within_bound(self.capacity.get(), group, now),
        };
        LoadReport {
            running: self.running(),
            waiting: self.waiting(),
            limit,
            backlog: self.expected_wait(limit, u32::MAX),
        }
    }

    /// Returns the time that a refused request of this class would have to wait for a slot now.
    pub fn retry_after(&self, priority: u32) -> Duration {
        self.expected_wait(self.slots_for(priority), priority)
    }

    /// Returns the expected time until a request of this class can run with `slots` slots.
    fn expected_wait(&self, slots: RequestCount, priority: u32) -> Duration {
        let ahead = self.queue.borrow().ahead_of(priority) as u64;
        let excess = (self.running.get() + ahead + 1).saturating_sub(slots.get());
        let rate = self.running.get().max(1) as f64 / self.mean_run_ms.get().max(f64::MIN_POSITIVE);
        let wait_ms = (excess as f64 / rate).min(MAX_WAIT_ESTIMATE.as_millis() as f64);
        saturating_millis(wait_ms)
    }

    /// Decides on a request that arrives at `now`.
    pub fn admit(
        self: &Rc<Self>,
        open: &OpenRequest,
        now: AgentClock,
    ) -> Result<Admission, RefusalReason> {
        self.clock.set(self.clock.get().max(now));
        self.check(open, now)?;
        let group = open.placement.group_load.map(|load| load.group);
        if open.priority == TOP_PRIORITY {
            self.last_top_priority.set(Some(now));
        }
        let capacity = self.slots_for(open.priority);
        let slots = self.within_bound(capacity, group, now);
        let first = self.queue.borrow().ahead_of(open.priority) == 0;
        if first && self.running() < slots {
            return Ok(Admission::Admitted(self.take_slot()));
        }
        let wait = self.expected_wait(slots, open.priority);
        if self.limits.queue.get() > 0 && wait < open.placement.wait_budget {
            return self.enqueue(open, group, now, wait).map(Admission::Waiting);
        }
        Err(if slots < capacity { RefusalReason::OverBound } else { RefusalReason::AtCapacity })
    }

    fn check(&self, open: &OpenRequest, now: AgentClock) -> Result<(), RefusalReason> {
        if open.agent != self.incarnation {
            return Err(RefusalReason::WrongIncarnation);
        }
        if now >= open.start_before {
            return Err(RefusalReason::DeadlinePassed);
        }
        if !self.seen.borrow_mut().record(open.id, open.start_before, now) {
            return Err(RefusalReason::SeenBefore);
        }
        match self.draining.get() {
            true => Err(RefusalReason::Leaving),
            false => Ok(()),
        }
    }

    fn take_slot(self: &Rc<Self>) -> AdmissionPermit {
        self.running.set(self.running.get() + 1);
        AdmissionPermit { controller: self.clone() }
    }

    /// Limits `slots` by the mean load of the group.
    fn within_bound(
        &self,
        slots: RequestCount,
        group: Option<GroupId>,
        now: AgentClock,
    ) -> RequestCount {
        let bound = group.and_then(|group| self.bound.limit(group, now));
        bound.map_or(slots, |bound| bound.min(slots))
    }

    /// Returns the slots that a class may use. Some are reserved for the top class while it is in
    /// use.
    fn slots_for(&self, priority: u32) -> RequestCount {
        let capacity = self.capacity.get();
        let is_reserved = self
            .last_top_priority
            .get()
            .is_some_and(|last| last.after(RESERVATION_DURATION) > self.clock.get());
        match is_reserved && priority != TOP_PRIORITY {
            true => {
                capacity.saturating_sub(RequestCount::new(capacity.get() / SLOTS_PER_RESERVED_SLOT))
            }
            false => capacity,
        }
    }

    fn enqueue(
        self: &Rc<Self>,
        open: &OpenRequest,
        group: Option<GroupId>,
        now: AgentClock,
        wait: Duration,
    ) -> Result<AdmissionTicket, RefusalReason> {
        let wait_limit = open.placement.wait_budget.saturating_mul(2).max(MIN_WAIT_LIMIT);
        let wait_limit = wait_limit.min(self.limits.max_wait);
        let deadline = open.start_before.min(now.after(wait_limit));
        if now.after(wait) >= deadline {
            return Err(RefusalReason::WaitTooLong);
        }
        let entry = QueueEntry {
            priority: open.priority,
            organisation: open.organisation.clone(),
            share: open.placement.share,
            item: open.id,
        };
        let outcome = self.queue.borrow_mut().push(entry);
        match outcome {
            PushOutcome::Full(_) => return Err(RefusalReason::QueueFull),
            PushOutcome::Displaced(id) => self.resolve(&id, Err(RefusalReason::Displaced)),
            PushOutcome::Queued => {}
        }
        let state = Rc::new(TicketState::new(group));
        self.tickets.borrow_mut().insert(open.id, state.clone());
        Ok(AdmissionTicket::new(self.clone(), open.id, state, deadline))
    }

    /// Gives free slots to queued requests.
    fn grant_slots(self: &Rc<Self>) {
        while let Some(id) = self.next_to_run() {
            let permit = self.take_slot();
            self.resolve(&id, Ok(permit));
        }
    }

    fn next_to_run(&self) -> Option<RequestId> {
        let mut queue = self.queue.borrow_mut();
        let priority = queue.next_priority()?;
        let group = self.waiting_group(queue.peek()?);
        let slots = self.within_bound(self.slots_for(priority), group, self.clock.get());
        (self.running() < slots).then(|| queue.pop()).flatten()
    }

    fn waiting_group(&self, id: &RequestId) -> Option<GroupId> {
        self.tickets.borrow().get(id)?.group
    }

    fn resolve(&self, id: &RequestId, outcome: Result<AdmissionPermit, RefusalReason>) {
        let state = self.tickets.borrow_mut().remove(id);
        if let Some(state) = state {
            state.resolve(outcome);
        }
    }

    /// Removes a request from the queue.
    pub(crate) fn withdraw(&self, id: &RequestId) {
        self.queue.borrow_mut().remove(id);
        self.tickets.borrow_mut().remove(id);
    }
}
