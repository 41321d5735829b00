//! The requests of this server to stop serving weights, and the evidence that they need.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_coordination::orders::{
    required_servers, ChangePlan, EngineSnapshot, LoadBackoff, LoadSlots, ServerTarget,
    ServingEvidence,
};
use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;

use super::order_core::OrderCore;
use super::order_permit::wall_clock;
use super::serving_client::ServingClient;
use super::step_choice::EvidenceTable;

/// Queries other servers for one stop at a time, and keeps the gate closed for stopped weights.
pub struct StopRequests {
    client: ServingClient,
    orders: Rc<OrderCore>,
    next_query_at: Instant,
    round_robin: usize,
    drain_deadlines: BTreeMap<WeightsRef, Instant>,
    waits: Vec<&'static str>,
}

impl StopRequests {
    /// Creates an empty set of stop requests.
    pub fn new(client: ServingClient, orders: Rc<OrderCore>) -> Self {
        let (drain_deadlines, waits) = (BTreeMap::new(), Vec::new());
        Self {
            client,
            orders,
            next_query_at: Instant::now(),
            round_robin: 0,
            drain_deadlines,
            waits,
        }
    }

    /// Returns the labels of what was waited for since the last call.
    pub fn take_waits(&mut self) -> Vec<&'static str> {
        std::mem::take(&mut self.waits)
    }

    fn wait_for(&mut self, label: &'static str) {
        self.orders.metrics.waits.count(label);
        self.waits.push(label);
    }

    /// Returns the time before its slot at which an update queries other servers. At least one poll
    /// falls into it.
    fn query_lead_time(&self) -> Duration {
        (self.client.evidence_for / 4).max(self.orders.settings.look_every)
    }

    /// Resumes serving the weights whose stop is no longer wanted or whose evidence has expired.
    pub fn settle(
        &mut self,
        target: &ServerTarget,
        view: &EngineSnapshot,
        plan: &ChangePlan,
        evidence: &mut EvidenceTable,
    ) {
        let now = Instant::now();
        let mut stops = self.orders.stops.borrow_mut();
        let requested: BTreeSet<_> = stops.stopping().chain(stops.stopped()).cloned().collect();
        evidence.retain(|_, entries| entries.iter().any(|entry| entry.until > now));
        for weights in requested {
            let is_surplus = plan.surplus.contains(&weights);
            let is_updated = target.weights.get(&weights).is_some_and(|version| {
                view.is_loading(&weights, version)
                    || plan.outdated.contains(&weights) && evidence.contains_key(&weights)
            });
            let keeps_stopping = is_surplus && stops.has_stopped(&weights) || is_updated;
            if !keeps_stopping {
                stops.resume_serving(&weights);
                evidence.remove(&weights);
                self.drain_deadlines.remove(&weights);
            }
        }
        evidence.retain(|weights, _| plan.outdated.contains(weights));
        drop(stops);
        self.close_gate();
    }

    fn close_gate(&self) {
        let stops = self.orders.stops.borrow();
        self.orders.gate.set_closed(stops.stopped().cloned().collect());
    }

    /// Returns the weights that may be unloaded at `now`: they are stopped, and either no running
    /// request uses them or their drain deadline has passed.
    pub fn unloadable(&self, plan: &ChangePlan, now: Instant) -> BTreeSet<WeightsRef> {
        let stops = self.orders.stops.borrow();
        let is_drained = |weights: &&WeightsRef| {
            self.orders.gate.running(weights) == 0
                || self.drain_deadlines.get(*weights).is_some_and(|deadline| *deadline <= now)
        };
        let stopped = plan.surplus.iter().filter(|weights| stops.has_stopped(weights));
        stopped.filter(is_drained).cloned().collect()
    }

    /// Advances one stop request. Returns whether this changed the state.
    pub async fn query_next(
        &mut self,
        target: &ServerTarget,
        plan: &ChangePlan,
        slots: LoadSlots,
        evidence: &mut EvidenceTable,
        backoff: &LoadBackoff,
    ) -> bool {
        if self.stop_unneeded(target, plan) {
            return true;
        }
        let now = Instant::now();
        let updates_near = slots.until_next(wall_clock()) <= self.query_lead_time();
        let outdated = plan.outdated.iter().filter(|weights| {
            updates_near && backoff.may_try(weights, now) && !evidence.contains_key(*weights)
        });
        let surplus = plan.surplus.iter();
        let candidates: Vec<_> = {
            let stops = self.orders.stops.borrow();
            surplus.filter(|weights| !stops.has_stopped(weights)).chain(outdated).cloned().collect()
        };
        if candidates.is_empty() {
            return false;
        }
        self.round_robin = self.round_robin.wrapping_add(1);
        let weights = candidates[self.round_robin % candidates.len()].clone();
        let declared_peers: Vec<_> =
            target.declared_peers(&weights).map(|(name, agent)| (name.clone(), agent)).collect();
        let is_surplus = plan.surplus.contains(&weights);
        if declared_peers.is_empty() {
            if is_surplus {
                self.wait_for("last_server");
            }
            return false;
        }
        if now < self.next_query_at {
            self.wait_for("ask_later");
            return false;
        }
        let kept = self.query(&weights, &declared_peers).await;
        match kept {
            None => false,
            Some(kept) if is_surplus => {
                self.stop(&weights, &kept, required_servers(declared_peers.len()))
            }
            Some(kept) => {
                evidence.insert(weights, kept);
                true
            }
        }
    }

    /// Stops serving surplus weights that are no longer declared anywhere. This needs no evidence.
    fn stop_unneeded(&mut self, target: &ServerTarget, plan: &ChangePlan) -> bool {
        let deadline = Instant::now() + self.orders.settings.unload_drain;
        let mut stops = self.orders.stops.borrow_mut();
        let mut stopped = false;
        for weights in plan.surplus.iter().filter(|weights| !target.is_in_force(weights)) {
            if !stops.has_stopped(weights) {
                stops.stop_unneeded(weights);
                self.drain_deadlines.insert(weights.clone(), deadline);
                stopped = true;
            }
        }
        drop(stops);
        self.close_gate();
        stopped
    }

    /// Queries whether `keepers` keep serving `weights`. Returns their evidence if it is enough.
    async fn query(
        &mut self,
        weights: &WeightsRef,
        declared_peers: &[(ServerId, SocketAddr)],
    ) -> Option<Vec<ServingEvidence>> {
        self.orders.stops.borrow_mut().begin_stop(weights);
        let kept = self.client.query_all(weights, declared_peers).await;
        if kept.len() >= required_servers(declared_peers.len()) {
            return Some(kept);
        }
        self.orders.stops.borrow_mut().resume_serving(weights);
        let share: f64 = rand::random();
        self.next_query_at = Instant::now() + self.client.evidence_for.mul_f64(0.1 + 0.4 * share);
        self.wait_for("too_few_keepers");
        None
    }

    fn stop(&mut self, weights: &WeightsRef, kept: &[ServingEvidence], needed: usize) -> bool {
        let mut stops = self.orders.stops.borrow_mut();
        let stopped = stops.stop(weights, kept, needed, Instant::now);
        if !stopped {
            stops.resume_serving(weights);
        }
        drop(stops);
        if stopped {
            log::info!(weights:% = weights; "stopped serving weights");
            let deadline = Instant::now() + self.orders.settings.unload_drain;
            self.drain_deadlines.insert(weights.clone(), deadline);
            self.close_gate();
        }
        stopped
    }
}
