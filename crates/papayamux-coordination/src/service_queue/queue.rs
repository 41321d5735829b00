//! Decides which requests are admitted, queued or refused.
//!
//! This is for an overload: more requests than the servers of a service can run, because of a surge
//! of all organisations or of one, or because servers were lost. Without a queue in the router, the
//! servers' own queues fill until every answer is late, and whoever sends most gets most. With it,
//! the servers are kept just full, organisations get shares by weight, and a request that would
//! wait longer than it can is refused as soon as that is known, so that the others are answered on
//! time.

use std::time::{Duration, Instant};

use papayamux_state::quantities::TokenCount;

use super::displacement::displaced_flows;
use super::flow_usage::FlowUsage;
use super::work_ahead::WorkAhead;
use super::{CompletionRate, FlowKey, QueueRefusal, QueuedRequest, WorkRate};
use crate::fair_share::{FairShare, FlowShare};

/// Maximum expected wait of a new request, as a share of its wait budget. The wait is an estimate,
/// and retries or organisations that have had less than their share may still go first.
const MAX_EXPECTED_SHARE: f64 = 0.6;
/// Number of wait budgets after which a queued request is refused after all. A late refusal costs
/// the caller more than an answer that is slightly late.
const MAX_WAIT_BUDGETS: f64 = 1.25;
/// Minimum number of requests in flight for which the completion rate decides on a request that
/// would be next at a service that other routers use. With fewer, the rate is hardly known: slots
/// of the other routers become free as well.
const MIN_IN_FLIGHT: u32 = 4;

/// The decision on an arriving request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// A slot is free.
    Admitted,
    /// The request is queued. Holds the expected wait.
    Queued(Duration),
    /// The request would wait longer than it can.
    Refused(QueueRefusal),
}

#[derive(Debug)]
pub(super) struct WaitingRequest<T> {
    pub request: QueuedRequest,
    item: T,
}

/// The order of requests of several priorities: those of the most urgent `priority` go before what
/// other flows use for their weight beyond `limit`, in work per second, unless their `share` has
/// added up to a request.
#[derive(Debug, Clone, Copy)]
struct UrgentFirst {
    priority: u32,
    limit: f64,
    share: f64,
    now: Instant,
}

pub(super) type WaitingFlows<T> = FairShare<FlowKey, WaitingRequest<T>>;

/// The queue of one service at one router.
///
/// Requests that can still meet their objective go before late ones. If late retries went first,
/// each new request of a lasting overload would be refused, come back late and be served late in
/// turn. By default, priorities count only as weights.
#[derive(Debug)]
pub struct ServiceQueue<T> {
    on_time: WaitingFlows<T>,
    late: WaitingFlows<T>,
    completion_rate: CompletionRate,
    /// The work of the requests that are on time.
    on_time_arrivals: WorkRate,
    reserved_slots: u32,
    free_slots: u32,
    usage: FlowUsage,
    /// The latest time that the queue was given.
    now: Option<Instant>,
    displaces: bool,
    /// Whether other routers use the service.
    is_shared: bool,
    displaced: Vec<(T, QueueRefusal)>,
}

impl<T> Default for ServiceQueue<T> {
    fn default() -> Self {
        Self {
            on_time: FairShare::default(),
            late: FairShare::default(),
            completion_rate: CompletionRate::default(),
            on_time_arrivals: WorkRate::default(),
            reserved_slots: 0,
            free_slots: 0,
            usage: FlowUsage::default(),
            now: None,
            displaces: false,
            is_shared: false,
            displaced: Vec::new(),
        }
    }
}

impl<T: PartialEq> ServiceQueue<T> {
    /// Creates a queue in which urgent requests go before and displace less urgent ones. Its user
    /// must refuse those that [`Self::take_displaced`] returns.
    pub fn with_displacement() -> Self {
        Self { displaces: true, ..Self::default() }
    }

    /// Sets whether other routers use the service.
    pub fn set_shared(&mut self, is_shared: bool) {
        self.is_shared = is_shared;
    }

    /// Admits, queues or refuses an arriving request while the service has `slots`. `item`
    /// identifies the request in the queue.
    pub fn enqueue(&mut self, request: QueuedRequest, item: T, slots: u32) -> EnqueueOutcome {
        let work = request.work;
        self.free_slots = slots;
        let now = self.advance_to(request.time.arrived);
        if !request.time.is_late() {
            self.on_time_arrivals.record(work, request.time.arrived);
        }
        if self.displaces && !request.time.is_late() {
            self.usage.record_flow(&request.flow, now);
        }
        if self.usage.has_priorities() {
            self.usage.update_weight(&self.on_time, now);
        }
        let others_wait =
            !self.on_time.is_empty() || request.time.is_late() && !self.late.is_empty();
        if !others_wait && slots > self.reserved_slots {
            self.record_accepted(&request, now);
            self.record_usage(&request, now);
            return EnqueueOutcome::Admitted;
        }
        let max_wait = request.time.wait_budget().mul_f64(MAX_EXPECTED_SHARE);
        let mut wait = self.expected_wait(&request);
        if wait > max_wait {
            if !self.displace_for(&request, max_wait) {
                return EnqueueOutcome::Refused(self.refusal(wait, request.time.arrived));
            }
            wait = self.expected_wait(&request);
        }
        self.record_accepted(&request, now);
        let answer_deadline = request.time.answer_deadline();
        let share = FlowShare { weight: request.flow.weight(), cost: work.get() as f64 };
        let flows = if request.time.is_late() { &mut self.late } else { &mut self.on_time };
        let waiting = WaitingRequest { request: request.clone(), item };
        flows.push_before(request.flow, share, waiting, |other| {
            other.request.time.answer_deadline() > answer_deadline
        });
        EnqueueOutcome::Queued(wait)
    }

    /// Takes the queued requests that more urgent ones have displaced since the last call, each
    /// with the refusal to send.
    pub fn take_displaced(&mut self) -> Vec<(T, QueueRefusal)> {
        std::mem::take(&mut self.displaced)
    }

    /// Dequeues the requests for which slots are free, at most `limit`, and reserves their slots.
    pub fn dispatch(&mut self, slots: u32, limit: u32) -> Vec<T> {
        self.free_slots = slots;
        let free = slots.saturating_sub(self.reserved_slots).min(limit);
        let dispatched: Vec<_> = (0..free).map_while(|_| self.pop_next()).collect();
        self.reserved_slots += dispatched.len() as u32;
        dispatched.into_iter().map(|waiting| waiting.item).collect()
    }

    /// Releases the reservation of a dispatched request that has taken its slot or no longer needs
    /// one.
    pub fn release_reservation(&mut self) {
        self.reserved_slots = self.reserved_slots.saturating_sub(1);
    }

    /// Removes a request whose caller has disconnected. Returns `false` if it is no longer queued.
    pub fn remove(&mut self, item: &T) -> bool {
        self.flows().any(|flows| !flows.remove_where(|waiting| waiting.item == *item).is_empty())
    }

    /// Removes the requests that have exceeded their wait, each with the refusal to send.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<(T, QueueRefusal)> {
        self.advance_to(now);
        let refusal = self.refusal(Duration::ZERO, now);
        let waited = |request: &QueuedRequest| now.saturating_duration_since(request.time.arrived);
        let is_overdue = |waiting: &WaitingRequest<T>| {
            waited(&waiting.request) > waiting.request.time.wait_budget().mul_f64(MAX_WAIT_BUDGETS)
        };
        let taken = self.flows().flat_map(|flows| flows.remove_where(is_overdue));
        let refused = taken.map(|overdue| {
            let wait = waited(&overdue.request);
            (overdue.item, QueueRefusal { wait, ..refusal.clone() })
        });
        refused.collect()
    }

    /// Records that a request of this router was sent to a server.
    pub fn record_dispatch(&mut self, work: TokenCount, now: Instant) {
        self.advance_to(now);
        self.completion_rate.record_dispatch(work, now);
    }

    /// Records that a request of this router has completed after `elapsed`.
    pub fn record_completion(&mut self, work: TokenCount, elapsed: Duration, now: Instant) {
        self.advance_to(now);
        self.completion_rate.record_completion(work, elapsed, now);
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    fn flows(&mut self) -> impl Iterator<Item = &mut WaitingFlows<T>> {
        [&mut self.on_time, &mut self.late].into_iter()
    }

    /// Records that it is at least `now`, and returns the latest known time: a request may have
    /// arrived some time before it is queued.
    fn advance_to(&mut self, now: Instant) -> Instant {
        *self.now.insert(self.now.map_or(now, |known| known.max(now)))
    }

    /// Displaces less urgent requests so that `request` waits for at most `max_wait`. Returns
    /// `false` and displaces none if that isn't possible, or if `request` is late: late requests
    /// aren't counted as usage.
    fn displace_for(&mut self, request: &QueuedRequest, max_wait: Duration) -> bool {
        if !self.displaces || request.time.is_late() || !self.has_less_urgent(&request.flow) {
            return false;
        }
        let arrived = request.time.arrived;
        let (rate, share) = (self.rate_for(request), self.share(arrived));
        let (Some(rate), Some(share)) = (rate, share) else { return false };
        let max_work = max_wait.as_secs_f64() * rate;
        let keys = displaced_flows(&self.on_time, &self.usage, share, request, max_work);
        let Some(keys) = keys else { return false };
        let refusal = self.refusal(Duration::ZERO, arrived);
        for displaced in keys.iter().filter_map(|key| self.on_time.pop_last(key)) {
            let refusal = QueueRefusal {
                wait: arrived.saturating_duration_since(displaced.request.time.arrived),
                displaced_by: Some(request.flow.clone()),
                ..refusal.clone()
            };
            self.displaced.push((displaced.item, refusal));
        }
        true
    }

    /// Returns whether requests on time that are less urgent than those of `flow` are queued.
    fn has_less_urgent(&self, flow: &FlowKey) -> bool {
        self.on_time.backlogged_keys().any(|other| other.priority > flow.priority)
    }

    /// Returns the share of each flow for its weight, if the completion rate is known.
    fn share(&self, now: Instant) -> Option<f64> {
        let completion_rate = self.completion_rate.per_second(now)?;
        Some(self.usage.share(completion_rate))
    }

    fn pop_next(&mut self) -> Option<WaitingRequest<T>> {
        let next = self.pop_on_time().or_else(|| self.late.pop())?;
        let now = self.now.unwrap_or(next.request.time.arrived);
        self.record_usage(&next.request, now);
        Some(next)
    }

    /// Records the arrival of a request that was admitted or queued. Refused ones take no work from
    /// others.
    fn record_accepted(&mut self, request: &QueuedRequest, now: Instant) {
        if self.displaces && !request.time.is_late() {
            self.usage.record_arrival(request.flow.priority, request.work, now);
        }
    }

    fn record_usage(&mut self, request: &QueuedRequest, now: Instant) {
        if self.displaces {
            self.usage.record_dispatch(&request.flow, request.work, now);
        }
    }

    fn pop_on_time(&mut self) -> Option<WaitingRequest<T>> {
        let Some(rule) = self.urgent_first() else { return self.on_time.pop() };
        let UrgentFirst { priority, limit, share, now } = rule;
        let usage = &self.usage;
        self.on_time.pop_where(|flow, work| {
            flow.priority == priority
                || usage.by_weight(flow, work, now) <= limit
                || usage.is_due(flow, work, share, now)
        })
    }

    /// Returns which requests go first while requests of several priorities are queued.
    fn urgent_first(&self) -> Option<UrgentFirst> {
        if !self.displaces || !self.usage.has_priorities() {
            return None;
        }
        let flows = &self.on_time;
        let priorities = || flows.backlogged_keys().map(|flow| flow.priority);
        let priority = priorities().min()?;
        if priorities().all(|other| other == priority) {
            return None;
        }
        let now = self.now?;
        let urgent = flows.backlogged_keys().filter(|flow| flow.priority == priority);
        let used = urgent.map(|flow| self.usage.by_weight(flow, flows.first_cost(flow), now));
        let share = self.share(now)?;
        let limit = used.fold(share, f64::min);
        Some(UrgentFirst { priority, limit, share, now })
    }

    fn refusal(&self, wait: Duration, now: Instant) -> QueueRefusal {
        QueueRefusal {
            wait,
            waiting: self.len(),
            free_slots: self.free_slots,
            evidence: self.completion_rate.evidence(now),
            displaced_by: None,
        }
    }

    /// Returns the time until a request is expected to be dispatched. It is zero while nothing is
    /// in flight, since the completion rate is unknown then, and for a request that would be next
    /// while so few are in flight at a shared service that the rate is hardly known.
    fn expected_wait(&self, request: &QueuedRequest) -> Duration {
        let Some(completion_rate) = self.rate_for(request) else {
            return Duration::ZERO;
        };
        let flows = if request.time.is_late() { &self.late } else { &self.on_time };
        let work = self.work_before_flows(request) + WorkAhead::of(flows, request).work();
        Duration::try_from_secs_f64(work / completion_rate.max(0.0)).unwrap_or(Duration::MAX)
    }

    /// Returns the rate at which the requests that are ordered like `request` complete, if it is
    /// known.
    fn rate_for(&self, request: &QueuedRequest) -> Option<f64> {
        let arrived = request.time.arrived;
        let completion_rate = self.completion_rate.per_second(arrived)?;
        if request.time.is_late() {
            return Some(completion_rate - self.on_time_arrivals.per_second(arrived));
        }
        let in_flight = self.completion_rate.evidence(arrived).in_flight;
        if self.is_shared && self.on_time.is_empty() && in_flight < MIN_IN_FLIGHT {
            return None;
        }
        Some(completion_rate - self.arrivals_before(request))
    }

    /// Returns the work per second of more urgent requests that goes before a request on time with
    /// which its flow would use more than its share.
    fn arrivals_before(&self, request: &QueuedRequest) -> f64 {
        let (flow, now) = (&request.flow, request.time.arrived);
        let more_urgent = self.usage.more_urgent_arrivals(flow.priority, now);
        if !self.displaces || more_urgent <= 0.0 {
            return 0.0;
        }
        let queued = self.on_time.cost_where(flow, |_| true);
        let work = queued + request.work.get() as f64;
        let used = self.usage.by_weight(flow, work, now);
        let exceeds = self
            .share(now)
            .is_some_and(|share| used > share && !self.usage.is_due(flow, work, share, now));
        if exceeds {
            more_urgent
        } else {
            0.0
        }
    }

    /// Returns the work of the flows that go before those of `request`.
    fn work_before_flows(&self, request: &QueuedRequest) -> f64 {
        if request.time.is_late() {
            self.on_time.total_cost()
        } else {
            0.0
        }
    }
}
