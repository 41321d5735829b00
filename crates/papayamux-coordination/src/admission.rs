//! An agent's decision whether to take a request now, later or not at all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use papayamux_protocol::link::{AgentClock, OpenRequest};
use papayamux_state::ids::{Incarnation, RequestId};
use papayamux_state::load::{GroupId, GroupLoad, LoadFactor, LoadReport};
use papayamux_state::quantities::RequestCount;
use papayamux_state::refusal::RefusalReason;

use crate::admission_ticket::{AdmissionTicket, TicketState};
use crate::fair_queue::{FairQueue, PushOutcome, QueueEntry};
use crate::load_bound::LoadBound;
use crate::seen_requests::SeenRequests;

/// The priority class of calls that people stand and wait for.
pub const TOP_PRIORITY: u32 = 0;
/// One place in so many is kept for the top class.
const RESERVED_SHARE: u64 = 8;
/// How long places are kept for the top class after its last call.
const RESERVED_FOR: Duration = Duration::from_secs(60);
/// The longest wait that is told.
const LONGEST_ESTIMATE: Duration = Duration::from_secs(60);
/// How long a wait that was accepted may take at least, whatever was expected.
const SHORTEST_WAIT: Duration = Duration::from_millis(50);
/// Weight of the latest run in the running mean of how long a run takes.
const LATEST_WEIGHT: f64 = 0.1;

/// What binds an agent's admissions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionLimits {
    /// Requests that may run at once, whatever others carry.
    pub capacity: RequestCount,
    /// Requests that may wait; with 0, a request without a place is refused at once.
    pub queue: RequestCount,
    /// The longest that a request may wait.
    pub longest_wait: Duration,
    /// How far the load may lie above the mean.
    pub factor: LoadFactor,
}

impl AdmissionLimits {
    /// Limits with the given capacity and else as they are where nothing is set.
    pub fn of_capacity(capacity: RequestCount) -> Self {
        Self {
            capacity,
            queue: RequestCount::new(256),
            longest_wait: Duration::from_secs(10),
            factor: LoadFactor::DEFAULT,
        }
    }
}

/// The agent's book of what it has admitted.
///
/// A request that it refuses is never run: the id is remembered until the request's deadline has
/// passed on the agent's clock, and from then on the deadline refuses it.
#[derive(Debug)]
pub struct AdmissionBook {
    incarnation: Incarnation,
    limits: AdmissionLimits,
    capacity: Cell<RequestCount>,
    running: Cell<u64>,
    leaving: Cell<bool>,
    seen: RefCell<SeenRequests>,
    bound: LoadBound,
    queue: RefCell<FairQueue<RequestId>>,
    tickets: RefCell<HashMap<RequestId, Rc<TicketState>>>,
    clock: Cell<AgentClock>,
    last_top: Cell<Option<AgentClock>>,
    mean_run_ms: Cell<f64>,
}

/// A place among the running requests; dropping it frees the place for the next that waits.
#[derive(Debug)]
pub struct AdmissionPermit {
    book: Rc<AdmissionBook>,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.book.running.set(self.book.running.get().saturating_sub(1));
        self.book.grant_places();
    }
}

/// The agent's answer to a request.
#[derive(Debug)]
pub enum Admission {
    /// It runs now.
    Now(AdmissionPermit),
    /// It waits.
    Later(AdmissionTicket),
}

impl AdmissionBook {
    /// A book for one life of an agent.
    pub fn new(incarnation: Incarnation, limits: AdmissionLimits) -> Rc<Self> {
        Rc::new(Self {
            incarnation,
            limits,
            capacity: Cell::new(limits.capacity),
            running: Cell::new(0),
            leaving: Cell::new(false),
            seen: RefCell::default(),
            bound: LoadBound::new(limits.factor),
            queue: RefCell::new(FairQueue::new(limits.queue.get() as usize)),
            tickets: RefCell::default(),
            clock: Cell::default(),
            last_top: Cell::new(None),
            mean_run_ms: Cell::new(0.0),
        })
    }

    /// Takes no new work from now on. What waits was accepted and still gets its turn.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Whether the agent takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Requests admitted and not finished.
    pub fn running(&self) -> RequestCount {
        RequestCount::new(self.running.get())
    }

    /// Refuses a request that never came, from `now` until its own deadline does so; `false`
    /// where it came, or where that can't be told any more.
    pub fn refuse_unseen(&self, id: RequestId, start_before: AgentClock, now: AgentClock) -> bool {
        now < start_before && self.seen.borrow_mut().note(id, start_before, now)
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> RequestCount {
        RequestCount::new(self.queue.borrow().len() as u64)
    }

    /// The places that the engine's batch has; the agent gives it no more at once.
    pub fn set_batch(self: &Rc<Self>, places: RequestCount) {
        self.capacity.set(self.limits.capacity.min(places).max(RequestCount::new(1)));
        self.grant_places();
    }

    /// Takes in what a router says of the mean load.
    pub fn hear_mean(self: &Rc<Self>, load: &GroupLoad, now: AgentClock) {
        self.clock.set(self.clock.get().max(now));
        self.bound.hear(load, now);
        self.grant_places();
    }

    /// Notes how long a run took.
    pub fn note_run(&self, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        let mean = self.mean_run_ms.get();
        self.mean_run_ms.set(mean + LATEST_WEIGHT * (took - mean));
    }

    /// What the server carries, for a group of servers that it belongs to.
    pub fn load(&self, group: Option<GroupId>, now: AgentClock) -> LoadReport {
        let limit = match self.leaving.get() {
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

    /// How long a refused request of this class would have to wait for a place now.
    pub fn retry_after(&self, priority: u32) -> Duration {
        self.expected_wait(self.places_for(priority), priority)
    }

    /// How long a request of this class waits until fewer than `places` run before it.
    fn expected_wait(&self, places: RequestCount, priority: u32) -> Duration {
        let ahead = self.queue.borrow().ahead_of(priority) as u64;
        let over = (self.running.get() + ahead + 1).saturating_sub(places.get());
        let rate = self.running.get().max(1) as f64 / self.mean_run_ms.get().max(f64::MIN_POSITIVE);
        let wait_ms = (over as f64 / rate).min(LONGEST_ESTIMATE.as_millis() as f64);
        Duration::from_secs_f64(wait_ms / 1_000.0)
    }

    /// Decides on a request at `now`.
    pub fn admit(
        self: &Rc<Self>,
        open: &OpenRequest,
        now: AgentClock,
    ) -> Result<Admission, RefusalReason> {
        self.clock.set(self.clock.get().max(now));
        self.check(open, now)?;
        let group = open.placement.group_load.map(|load| load.group);
        if open.priority == TOP_PRIORITY {
            self.last_top.set(Some(now));
        }
        let capacity = self.places_for(open.priority);
        let places = self.within_bound(capacity, group, now);
        let first = self.queue.borrow().ahead_of(open.priority) == 0;
        if first && self.running() < places {
            return Ok(Admission::Now(self.occupy()));
        }
        let wait = self.expected_wait(places, open.priority);
        if self.limits.queue.get() > 0 && wait < open.placement.wait_budget {
            return self.enqueue(open, group, now, wait).map(Admission::Later);
        }
        Err(if places < capacity { RefusalReason::OverBound } else { RefusalReason::AtCapacity })
    }

    fn check(&self, open: &OpenRequest, now: AgentClock) -> Result<(), RefusalReason> {
        if open.agent != self.incarnation {
            return Err(RefusalReason::WrongIncarnation);
        }
        if now >= open.start_before {
            return Err(RefusalReason::DeadlinePassed);
        }
        if !self.seen.borrow_mut().note(open.id, open.start_before, now) {
            return Err(RefusalReason::SeenBefore);
        }
        match self.leaving.get() {
            true => Err(RefusalReason::Leaving),
            false => Ok(()),
        }
    }

    fn occupy(self: &Rc<Self>) -> AdmissionPermit {
        self.running.set(self.running.get() + 1);
        AdmissionPermit { book: self.clone() }
    }

    /// `places`, or as many as the mean load of the group leaves of them.
    fn within_bound(
        &self,
        places: RequestCount,
        group: Option<GroupId>,
        now: AgentClock,
    ) -> RequestCount {
        let bound = group.and_then(|group| self.bound.limit(group, now));
        bound.map_or(places, |bound| bound.min(places))
    }

    /// Places that a class may fill: some are kept for the top class while it calls.
    fn places_for(&self, priority: u32) -> RequestCount {
        let capacity = self.capacity.get();
        let called =
            self.last_top.get().is_some_and(|last| last.after(RESERVED_FOR) > self.clock.get());
        match called && priority != TOP_PRIORITY {
            true => capacity.saturating_sub(RequestCount::new(capacity.get() / RESERVED_SHARE)),
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
        let longest = open.placement.wait_budget.saturating_mul(2).max(SHORTEST_WAIT);
        let longest = longest.min(self.limits.longest_wait);
        let deadline = open.start_before.min(now.after(longest));
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
            PushOutcome::Displaced(id) => self.settle(&id, Err(RefusalReason::Displaced)),
            PushOutcome::Waits => {}
        }
        let state = Rc::new(TicketState::new(group));
        self.tickets.borrow_mut().insert(open.id, state.clone());
        Ok(AdmissionTicket::new(self.clone(), open.id, state, deadline))
    }

    /// Gives free places to those that wait.
    fn grant_places(self: &Rc<Self>) {
        while let Some(id) = self.next_to_run() {
            let permit = self.occupy();
            self.settle(&id, Ok(permit));
        }
    }

    fn next_to_run(&self) -> Option<RequestId> {
        let mut queue = self.queue.borrow_mut();
        let priority = queue.next_priority()?;
        let group = self.waiting_group(queue.peek()?);
        let places = self.within_bound(self.places_for(priority), group, self.clock.get());
        (self.running() < places).then(|| queue.pop()).flatten()
    }

    fn waiting_group(&self, id: &RequestId) -> Option<GroupId> {
        self.tickets.borrow().get(id)?.group
    }

    fn settle(&self, id: &RequestId, outcome: Result<AdmissionPermit, RefusalReason>) {
        let state = self.tickets.borrow_mut().remove(id);
        if let Some(state) = state {
            state.settle(outcome);
        }
    }

    /// Takes a request out of the queue that no longer waits.
    pub(crate) fn withdraw(&self, id: &RequestId) {
        self.queue.borrow_mut().remove(id);
        self.tickets.borrow_mut().remove(id);
    }
}
