//! The task that reconciles the engine with its target in a loop: read the engine's state, compare
//! it with the target, send an order, check the effect.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use papayamux_coordination::orders::{
    ChangePlan, EngineSnapshot, FenceError, FenceObservation, FenceTracker, LoadBackoff, LoadSlots,
    OrderDraft, ServerTarget, StepRights,
};
use papayamux_state::weights::WeightsRef;
use papayamux_transport::agent_link::LinkIdentity;
use papayamux_transport::timer::TimerSubscription;

use super::engine_client::{read_state, send_order, EngineError, OrderOutcome};
use super::order_core::{OrderCore, OrderReport};
use super::order_permit::{wall_clock, OrderPermit, SlotUse};
use super::serving_client::ServingClient;
use super::step_choice::{next_load, unused_slot, update_deadline, EvidenceTable};
use super::stop_requests::StopRequests;
use crate::agent_core::AgentCore;

/// Number of consecutive observations without a fencing number after an accepted order, after
/// which the engine is assumed to publish none.
const MAX_MISSING_FENCES: u32 = 3;

/// The outcome of one poll of the engine.
enum PollOutcome {
    /// The next poll follows at the next timer tick or slot.
    Wait,
    /// The state has changed; the next poll follows at once.
    Again,
    /// A newer agent controls the engine.
    Superseded,
}

/// The engine's state as read in one poll.
struct EnginePoll {
    requested_at: Instant,
    view: EngineSnapshot,
    sight: FenceObservation,
}

/// The only task that sends orders to the engine.
pub struct OrderTask {
    core: Rc<AgentCore>,
    orders: Rc<OrderCore>,
    fence: FenceTracker,
    missing_fences: u32,
    backoff: LoadBackoff,
    pending_loads: BTreeMap<WeightsRef, String>,
    stops: StopRequests,
    evidence: EvidenceTable,
    used_slot: Option<u64>,
    waits: Vec<&'static str>,
}

impl OrderTask {
    /// Creates the task of an agent that has not read its engine's state yet.
    pub fn new(core: Rc<AgentCore>, orders: Rc<OrderCore>) -> Self {
        let identity = LinkIdentity {
            incarnation: core.incarnation,
            domain: core.domain.clone(),
            secret: core.trust.secret.clone(),
        };
        let client = ServingClient {
            identity,
            server: core.server.clone(),
            evidence_for: orders.settings.evidence_for,
            metrics: orders.metrics.clone(),
        };
        Self {
            fence: FenceTracker::new(core.incarnation),
            stops: StopRequests::new(client, orders.clone()),
            core,
            orders,
            missing_fences: 0,
            backoff: LoadBackoff::default(),
            pending_loads: BTreeMap::new(),
            evidence: EvidenceTable::new(),
            used_slot: None,
            waits: Vec::new(),
        }
    }

    /// Sends orders until a newer agent controls the engine or the timer ends.
    pub async fn run(mut self, mut ticks: TimerSubscription) {
        loop {
            match self.poll().await {
                PollOutcome::Again => continue,
                PollOutcome::Superseded => return self.stop_superseded(),
                PollOutcome::Wait => {}
            }
            if !self.wait(&mut ticks).await {
                return;
            }
        }
    }

    /// Waits for the timer, or for the engine's next slot if a load needs it. Returns `false` if
    /// the timer has ended.
    async fn wait(&mut self, ticks: &mut TimerSubscription) -> bool {
        let slot = self.until_slot().unwrap_or(Duration::MAX / 4);
        let tick = std::pin::pin!(ticks.tick());
        let slot = std::pin::pin!(sleep_capped(slot));
        let Either::Left((tick, _)) = select(tick, slot).await else { return true };
        let Some(tick) = tick else { return false };
        if let Some(paused) = tick.paused {
            log::warn!(paused_ms = paused.as_millis() as u64; "the process was paused");
            self.orders.metrics.waits.count("paused");
            self.evidence.clear();
        }
        true
    }

    /// Returns the time until the engine's next slot, if a load waits for it.
    fn until_slot(&self) -> Option<Duration> {
        let waits_for_slot = self.waits.contains(&"load_slot");
        let target = self.orders.target.current().filter(|_| waits_for_slot)?;
        Some(self.slots(&target).until_next(wall_clock()))
    }

    fn slots(&self, target: &ServerTarget) -> LoadSlots {
        let others = target.peers.keys().cloned();
        let fleet: BTreeSet<_> = others.chain([self.core.server.clone()]).collect();
        LoadSlots::new(&self.core.server, &fleet, self.orders.settings.load_rate)
    }

    fn wait_for(&mut self, label: &'static str) -> PollOutcome {
        self.orders.metrics.waits.count(label);
        self.waits.push(label);
        PollOutcome::Wait
    }

    async fn poll(&mut self) -> PollOutcome {
        self.waits.clear();
        let Some(target) = self.orders.target.current() else { return self.wait_for("no_target") };
        if let Err(error) = target.check() {
            log::warn!(error:% = error; "the target can't be ordered");
            return self.wait_for(error.label());
        }
        let poll = match self.read().await {
            Ok(poll) => poll,
            Err(error) => {
                log::warn!(server:% = self.core.server, error:% = error; "state unread");
                return self.wait_for("state_unread");
            }
        };
        if poll.sight == FenceObservation::Successor {
            return PollOutcome::Superseded;
        }
        let plan = ChangePlan::new(&target, &poll.view);
        self.settle(&target, &poll.view, &plan);
        let slots = self.slots(&target);
        if self.stops.query_next(&target, &plan, slots, &mut self.evidence, &self.backoff).await {
            return PollOutcome::Again;
        }
        self.waits.append(&mut self.stops.take_waits());
        let end = self.order(&target, &poll, &plan, slots).await;
        self.report(&target, poll.view, plan);
        end
    }

    /// Reads the engine's state and observes its fencing number.
    async fn read(&mut self) -> Result<EnginePoll, EngineError> {
        let requested_at = Instant::now();
        let state = read_state(&self.core.client).await?;
        let view = EngineSnapshot::from(&state);
        let sight = self.fence.observe(view.fence);
        self.orders.metrics.fences.count(sight.label());
        self.orders.gate.record_loaded(view.loaded.keys().cloned().collect(), requested_at);
        Ok(EnginePoll { requested_at, view, sight })
    }

    /// Records loads that have ended, and resumes serving weights whose stop is no longer wanted.
    fn settle(&mut self, target: &ServerTarget, view: &EngineSnapshot, plan: &ChangePlan) {
        let now = Instant::now();
        let pending_loads = std::mem::take(&mut self.pending_loads);
        for (weights, version) in pending_loads {
            let label = match view.loaded.get(&weights) {
                Some(loaded) if *loaded == version => "loaded",
                _ if view.has_failed(&weights, &version) => {
                    let pause = self.backoff.record_failure(&weights, now, rand::random());
                    let pause = pause.as_millis() as u64;
                    log::warn!(weights:% = weights, pause_ms = pause; "load failed");
                    "failed"
                }
                _ if view.is_loading(&weights, &version) => {
                    self.pending_loads.insert(weights, version);
                    continue;
                }
                _ => "lost",
            };
            self.orders.metrics.loads.count(label);
        }
        let is_open =
            |weights: &WeightsRef| view.loaded.get(weights) != target.weights.get(weights);
        self.backoff.keep_only(is_open);
        self.stops.settle(target, view, plan, &mut self.evidence);
    }

    /// Sends the next order, if any, and checks its effect.
    async fn order(
        &mut self,
        target: &ServerTarget,
        poll: &EnginePoll,
        plan: &ChangePlan,
        slots: LoadSlots,
    ) -> PollOutcome {
        let now = Instant::now();
        let load = next_load(target, plan, &self.backoff, &self.evidence, now);
        let slot = unused_slot(slots, self.used_slot).filter(|_| load.is_some());
        if load.is_some() && slot.is_none() {
            self.wait_for("load_slot");
        }
        let load = load.filter(|_| slot.is_some());
        let unload = self.stops.unloadable(plan, now);
        let rights = StepRights { load, unload, claim: self.claims(poll.sight) };
        let Some(draft) = OrderDraft::next(target, &poll.view, &rights) else {
            return PollOutcome::Wait;
        };
        let mut permit = OrderPermit::new(poll.requested_at, slot);
        let update = rights.load.as_ref().filter(|weights| plan.outdated.contains(weights));
        let deadline = update
            .and_then(|weights| update_deadline(target, weights, &self.evidence, now).flatten());
        if let Some(deadline) = deadline {
            permit.limit_to(deadline);
        }
        self.send(target, &draft, &permit, rights.load.zip(slot)).await
    }

    /// Returns whether the next order must claim the engine for this agent.
    fn claims(&mut self, sight: FenceObservation) -> bool {
        match sight {
            FenceObservation::Own => self.missing_fences = 0,
            FenceObservation::Restarted => self.missing_fences += 1,
            _ => {}
        }
        sight != FenceObservation::Own && self.missing_fences <= MAX_MISSING_FENCES
    }

    async fn send(
        &mut self,
        target: &ServerTarget,
        draft: &OrderDraft,
        permit: &OrderPermit,
        load: Option<(WeightsRef, SlotUse)>,
    ) -> PollOutcome {
        let fence = match self.fence.issue(target.revision) {
            Ok(fence) => fence,
            Err(FenceError::Contended) => return PollOutcome::Superseded,
            Err(error) => {
                log::error!(server:% = self.core.server, error:% = error; "no order possible");
                return self.wait_for("fence_exhausted");
            }
        };
        let outcome = send_order(&self.core.client, &draft.number(fence), permit).await;
        self.orders.metrics.outcomes.count(outcome.label());
        let reasons: Vec<_> = draft.reasons.iter().map(|reason| reason.label()).collect();
        log::info!(
            server:% = self.core.server, revision = target.revision, fence:% = fence,
            reasons:% = reasons.join(","), outcome = outcome.label();
            "order"
        );
        match outcome {
            OrderOutcome::NotSent(_) => return PollOutcome::Wait,
            OrderOutcome::Stale { highest } => {
                return match self.fence.record_refusal(highest) {
                    FenceObservation::Successor => PollOutcome::Superseded,
                    _ => PollOutcome::Again,
                };
            }
            OrderOutcome::Accepted => self.fence.record_obeyed(),
            OrderOutcome::Refused(status) => {
                log::warn!(server:% = self.core.server, status:% = status; "order refused");
            }
            OrderOutcome::Unknown(ref error) => {
                log::warn!(server:% = self.core.server, error:% = error; "order unanswered");
            }
        }
        reasons.iter().for_each(|reason| self.orders.metrics.orders.count(reason));
        if let Some((weights, slot)) = load {
            self.used_slot = Some(slot.number);
            if let Some(version) = draft.weights.get(&weights) {
                self.pending_loads.insert(weights, version.clone());
            }
        }
        self.check_effect(draft, &outcome).await
    }

    async fn check_effect(&mut self, draft: &OrderDraft, outcome: &OrderOutcome) -> PollOutcome {
        let effects = self.orders.metrics.effects.clone();
        let Ok(after) = self.read().await else {
            effects.count("unread");
            return PollOutcome::Wait;
        };
        if after.sight == FenceObservation::Successor {
            return PollOutcome::Superseded;
        }
        let seen = draft.is_in_effect(&after.view);
        effects.count(if seen { "seen" } else { "missing" });
        if matches!(outcome, OrderOutcome::Accepted) && !seen {
            log::warn!(server:% = self.core.server; "the order's effect is not seen");
        }
        PollOutcome::Wait
    }

    fn report(&self, target: &ServerTarget, view: EngineSnapshot, plan: ChangePlan) {
        let waits = self.waits.clone();
        self.orders.record_report(OrderReport {
            revision: Some(target.revision),
            view,
            plan,
            waits,
        });
    }

    /// Stops accepting requests, because a newer agent controls the engine.
    fn stop_superseded(&self) {
        log::warn!(server:% = self.core.server; "a newer agent orders the engine; stepping back");
        self.orders.metrics.superseded.set(1);
        self.orders.gate.supersede();
        self.core.draining.trigger();
    }
}

/// Sleeps for `time`, but at most a day. A day is long enough, because the caller also waits for a
/// timer.
async fn sleep_capped(time: Duration) {
    const MAX_SLEEP: Duration = Duration::from_secs(86_400);
    monoio::time::sleep(time.min(MAX_SLEEP)).await;
}
