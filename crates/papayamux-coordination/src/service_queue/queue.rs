//! Who goes, who waits and who is turned away.
//!
//! The load that this answers: more requests than the servers of a service can run, by a surge of
//! all organisations or of one, or since servers were lost. Without a line the servers' own queues
//! fill until every answer is late, and whoever sends most gets most. With it, servers are kept
//! just full; organisations get shares by weight; and a request that would wait for longer than it
//! has is turned away when that is known, so that the others are answered in time.

use std::time::{Duration, Instant};

use papayamux_state::quantities::TokenCount;

use super::{ArrivalRate, CompletionRate, FlowKey, QueuedRequest};
use crate::fair_share::{FairShare, FlowShare};

/// Part of its patience that a newcomer's expected wait may take: the wait is an estimate, and
/// callers that come back, or organisations that have had less, may still go before it.
const MAX_EXPECTED_SHARE: f64 = 0.6;
/// Patiences after which a request that waits is turned away after all. Changing one's mind costs
/// its caller more than an answer that is a little late.
const MAX_WAIT_BUDGETS: f64 = 1.25;

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// There is a place for it now.
    Admitted,
    /// It waits for a place, this long as far as is known.
    Queued(Duration),
    /// It would wait for longer than it has.
    Refused(QueueRefusal),
}

/// Why a request is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// How long it would have to wait, or has waited, from its arrival.
    pub wait: Duration,
    /// Requests in the line.
    pub waiting: usize,
}

#[derive(Debug)]
struct WaitingRequest<T> {
    request: QueuedRequest,
    item: T,
}

type WaitingFlows<T> = FairShare<FlowKey, WaitingRequest<T>>;

/// The line of one service at one router.
///
/// Those who can still be answered within their objective go before those who can't. If callers that come
/// back late went first, each newcomer of a lasting overload would be turned away, come back late and be served
/// late in its turn.
#[derive(Debug)]
pub struct ServiceQueue<T> {
    on_time: WaitingFlows<T>,
    late: WaitingFlows<T>,
    completion_rate: CompletionRate,
    /// The work of those who ask in time.
    on_time_arrivals: ArrivalRate,
    reserved_slots: u32,
}

impl<T> Default for ServiceQueue<T> {
    fn default() -> Self {
        Self {
            on_time: FairShare::default(),
            late: FairShare::default(),
            completion_rate: CompletionRate::default(),
            on_time_arrivals: ArrivalRate::default(),
            reserved_slots: 0,
        }
    }
}

impl<T: PartialEq> ServiceQueue<T> {
    /// Decides on a request that arrives while the service has `places`. Where it waits,
    /// `item` stands for it.
    pub fn enqueue(&mut self, request: QueuedRequest, item: T, slots: u32) -> EnqueueOutcome {
        let work = request.work;
        if !request.time.is_late() {
            self.on_time_arrivals.record(work, request.time.arrived);
        }
        let others_wait =
            !self.on_time.is_empty() || request.time.is_late() && !self.late.is_empty();
        if !others_wait && slots > self.reserved_slots {
            return EnqueueOutcome::Admitted;
        }
        let wait = self.expected_wait(&request);
        if wait > request.time.wait_budget().mul_f64(MAX_EXPECTED_SHARE) {
            return EnqueueOutcome::Refused(QueueRefusal { wait, waiting: self.len() });
        }
        let answer_deadline = request.time.answer_deadline();
        let share = FlowShare { weight: request.flow.weight(), cost: work.get() as f64 };
        let flows = if request.time.is_late() { &mut self.late } else { &mut self.on_time };
        let waiting = WaitingRequest { request: request.clone(), item };
        flows.push_before(request.flow, share, waiting, |other| {
            other.request.time.answer_deadline() > answer_deadline
        });
        EnqueueOutcome::Queued(wait)
    }

    /// Calls the requests for which there are places, at most `most` at a time.
    pub fn dispatch(&mut self, slots: u32, limit: u32) -> Vec<T> {
        let free = slots.saturating_sub(self.reserved_slots).min(limit);
        let next = |_| self.on_time.pop().or_else(|| self.late.pop());
        let dispatched: Vec<_> = (0..free).map_while(next).collect();
        self.reserved_slots += dispatched.len() as u32;
        dispatched.into_iter().map(|waiting| waiting.item).collect()
    }

    /// Notes that a request that was called has taken its place, or needs none any more.
    pub fn release_reservation(&mut self) {
        self.reserved_slots = self.reserved_slots.saturating_sub(1);
    }

    /// Takes out a request whose caller has left; `false` where it no longer waits.
    pub fn remove(&mut self, item: &T) -> bool {
        self.flows().any(|flows| !flows.remove_where(|waiting| waiting.item == *item).is_empty())
    }

    /// Takes out the requests that have waited for too long after all, each with its wait.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<(T, QueueRefusal)> {
        let waiting = self.len();
        let waited = |request: &QueuedRequest| now.saturating_duration_since(request.time.arrived);
        let is_overdue = |waiting: &WaitingRequest<T>| {
            waited(&waiting.request) > waiting.request.time.wait_budget().mul_f64(MAX_WAIT_BUDGETS)
        };
        let taken = self.flows().flat_map(|flows| flows.remove_where(is_overdue));
        let refused = taken.map(|overdue| {
            let wait = waited(&overdue.request);
            (overdue.item, QueueRefusal { wait, waiting })
        });
        refused.collect()
    }

    /// Notes that a request of this router was sent.
    pub fn record_dispatch(&mut self, work: TokenCount, now: Instant) {
        self.completion_rate.record_dispatch(work, now);
    }

    /// Notes that a request of this router has ended after so long.
    pub fn record_completion(&mut self, work: TokenCount, elapsed: Duration, now: Instant) {
        self.completion_rate.record_completion(work, elapsed, now);
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    fn flows(&mut self) -> impl Iterator<Item = &mut WaitingFlows<T>> {
        [&mut self.on_time, &mut self.late].into_iter()
    }

    /// How long until it is a request's turn. Where nothing is under way, nothing speaks against waiting.
    fn expected_wait(&self, request: &QueuedRequest) -> Duration {
        let arrived = request.time.arrived;
        let Some(completion_rate) = self.completion_rate.per_second(arrived) else {
            return Duration::ZERO;
        };
        let (work, completion_rate) = match request.time.is_late() {
            false => (work_ahead(&self.on_time, request), completion_rate),
            true => {
                let work = self.on_time.total_cost() + work_ahead(&self.late, request);
                (work, completion_rate - self.on_time_arrivals.per_second(arrived))
            }
        };
        Duration::try_from_secs_f64(work / completion_rate.max(0.0)).unwrap_or(Duration::MAX)
    }
}

/// The work until a request of one of these flows is done, its own with it.
fn work_ahead<T>(flows: &WaitingFlows<T>, request: &QueuedRequest) -> f64 {
    let answer_deadline = request.time.answer_deadline();
    let ahead = flows
        .cost_where(&request.flow, |other| other.request.time.answer_deadline() <= answer_deadline);
    let own = request.work.get() as f64;
    let weight = request.flow.weight();
    let others = flows.weight_of_others(&request.flow);
    let by_share = (ahead + own) * (weight + others) / weight;
    by_share.min(flows.total_cost() + own)
}
