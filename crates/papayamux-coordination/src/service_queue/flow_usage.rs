//! How much of a service each flow has used recently, and what its share is.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use papayamux_state::quantities::TokenCount;

use super::queue::WaitingFlows;
use super::{FlowKey, WorkRate};

/// Work per second below which a flow counts as idle: less than one request of the lowest work in
/// five seconds.
const IDLE_WORK_PER_SECOND: f64 = 100.0;
/// Number of flows below which idle ones aren't removed.
const MIN_TRACKED_FLOWS: usize = 64;
/// Interval at which the weights of active flows are summed: a fraction of the time that requests
/// wait.
const WEIGHT_INTERVAL: Duration = Duration::from_millis(20);

/// Time without arrivals after which a flow's last turn is forgotten.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// When a flow was last served.
#[derive(Debug)]
struct FlowTurn {
    /// The last dispatch, or the first arrival of a flow without one.
    at: Instant,
    arrived_at: Instant,
}

/// The work of requests that are on time: what was dispatched for each flow, and what was
/// accepted of each priority.
#[derive(Debug, Default)]
pub(super) struct FlowUsage {
    dispatched: HashMap<FlowKey, WorkRate>,
    turns: HashMap<FlowKey, FlowTurn>,
    max_turns: usize,
    max_flows: usize,
    accepted: BTreeMap<u32, WorkRate>,
    active_weight: f64,
    weighed_at: Option<Instant>,
}

impl FlowUsage {
    /// Records that a request of `flow` has arrived, accepted or not.
    pub fn record_flow(&mut self, flow: &FlowKey, now: Instant) {
        self.accepted.entry(flow.priority).or_default();
        if let Some(turn) = self.turns.get_mut(flow) {
            turn.arrived_at = now;
            return;
        }
        if self.turns.len() >= self.max_turns {
            let is_idle =
                |turn: &FlowTurn| now.saturating_duration_since(turn.arrived_at) >= MAX_IDLE;
            self.turns.retain(|_, turn| !is_idle(turn));
            self.max_turns = (self.turns.len() * 2).max(MIN_TRACKED_FLOWS);
        }
        self.turns.insert(flow.clone(), FlowTurn { at: now, arrived_at: now });
    }

    /// Records the arrival of a request that was accepted.
    pub fn record_arrival(&mut self, priority: u32, work: TokenCount, now: Instant) {
        self.accepted.entry(priority).or_default().record(work, now);
    }

    pub fn record_dispatch(&mut self, flow: &FlowKey, work: TokenCount, now: Instant) {
        if let Some(turn) = self.turns.get_mut(flow) {
            turn.at = now;
        }
        if let Some(rate) = self.dispatched.get_mut(flow) {
            rate.record(work, now);
            return;
        }
        if self.dispatched.len() >= self.max_flows {
            self.dispatched.retain(|_, rate| is_active(rate, now));
            self.max_flows = (self.dispatched.len() * 2).max(MIN_TRACKED_FLOWS);
        }
        self.dispatched.entry(flow.clone()).or_default().record(work, now);
    }

    /// Returns the work per second that is accepted of priorities more urgent than `priority`.
    pub fn more_urgent_arrivals(&self, priority: u32, now: Instant) -> f64 {
        self.accepted.range(..priority).map(|(_, rate)| rate.per_second(now)).sum()
    }

    /// Returns whether requests of several priorities have arrived.
    pub fn has_priorities(&self) -> bool {
        self.accepted.len() > 1
    }

    /// Updates the weight of the flows that use the service or wait for it.
    pub fn update_weight<T>(&mut self, waiting: &WaitingFlows<T>, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < WEIGHT_INTERVAL;
        if self.weighed_at.is_some_and(is_recent) {
            return;
        }
        self.weighed_at = Some(now);
        let used = self.dispatched.iter().filter(|(_, rate)| is_active(rate, now));
        let used = used.map(|(flow, _)| flow.weight()).sum::<f64>();
        let is_used =
            |flow: &FlowKey| self.dispatched.get(flow).is_some_and(|rate| is_active(rate, now));
        let idle = waiting.backlogged_keys().filter(|flow| !is_used(flow));
        self.active_weight = used + idle.map(FlowKey::weight).sum::<f64>();
    }

    /// Returns the share of a flow for its weight, in work per second, of a service that completes
    /// `completion_rate`.
    pub fn share(&self, completion_rate: f64) -> f64 {
        completion_rate / self.active_weight
    }

    /// Returns whether a flow has had nothing for as long as its `share` takes to add up to `work`.
    /// One request may be more than its share of a second.
    pub fn is_due(&self, flow: &FlowKey, work: f64, share: f64, now: Instant) -> bool {
        self.turns.get(flow).is_some_and(|turn| {
            let waited = now.saturating_duration_since(turn.at);
            work <= share * flow.weight() * waited.as_secs_f64()
        })
    }

    /// Returns what a flow would use for its weight, in work per second, if further `work` were
    /// dispatched now.
    pub fn by_weight(&self, flow: &FlowKey, work: f64, now: Instant) -> f64 {
        let idle = WorkRate::default();
        let rate = self.dispatched.get(flow).unwrap_or(&idle);
        rate.per_second_with(work, now) / flow.weight()
    }
}

fn is_active(rate: &WorkRate, now: Instant) -> bool {
    rate.per_second(now) >= IDLE_WORK_PER_SECOND
}
