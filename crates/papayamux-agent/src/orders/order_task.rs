//! The task that brings the engine to its target: read, compare, order, check, again and again.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use papayamux_coordination::orders::{
    ChangePlan, EngineReading, FenceBook, FenceError, FenceSight, LoadBackoff, LoadSlots,
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

/// Looks in a row without a fencing number after an obeyed order, after which the engine is taken
/// to publish none.
const MOST_UNSHOWN: u32 = 3;

/// How a look at the engine ended.
enum LookEnd {
    /// The next look comes with the timer or with the next slot.
    Wait,
    /// Things have changed; the next look comes at once.
    Again,
    /// A newer agent orders the engine.
    Superseded,
}

/// The engine's state as it was read.
struct EngineLook {
    asked: Instant,
    view: EngineReading,
    sight: FenceSight,
}

/// The one task that orders the engine.
pub struct OrderTask {
    core: Rc<AgentCore>,
    orders: Rc<OrderCore>,
    fence: FenceBook,
    unshown: u32,
    backoff: LoadBackoff,
    awaited: BTreeMap<WeightsRef, String>,
    stops: StopRequests,
    evidence: EvidenceTable,
    used_slot: Option<u64>,
    waits: Vec<&'static str>,
}

impl OrderTask {
    /// The task of an agent that knows nothing of its engine yet.
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
            fence: FenceBook::new(core.incarnation),
            stops: StopRequests::new(client, orders.clone()),
            core,
            orders,
            unshown: 0,
            backoff: LoadBackoff::default(),
            awaited: BTreeMap::new(),
            evidence: EvidenceTable::new(),
            used_slot: None,
            waits: Vec::new(),
        }
    }

    /// Orders until a newer agent does so, or the timer ends.
    pub async fn run(mut self, mut ticks: TimerSubscription) {
        loop {
            match self.look().await {
                LookEnd::Again => continue,
                LookEnd::Superseded => return self.step_back(),
                LookEnd::Wait => {}
            }
            if !self.wait(&mut ticks).await {
                return;
            }
        }
    }

    /// Waits for the timer, or for the engine's slot where a load waits for it.
    async fn wait(&mut self, ticks: &mut TimerSubscription) -> bool {
        let slot = self.until_slot().unwrap_or(Duration::MAX / 4);
        let tick = std::pin::pin!(ticks.tick());
        let slot = std::pin::pin!(sleep_long(slot));
        let Either::Left((tick, _)) = select(tick, slot).await else { return true };
        let Some(tick) = tick else { return false };
        if let Some(paused) = tick.paused {
            log::warn!(paused_ms = paused.as_millis() as u64; "the process was paused");
            self.orders.metrics.waits.count("paused");
            self.evidence.clear();
        }
        true
    }

    /// Time to the engine's next slot, where it is of use.
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

    fn wait_for(&mut self, label: &'static str) -> LookEnd {
        self.orders.metrics.waits.count(label);
        self.waits.push(label);
        LookEnd::Wait
    }

    async fn look(&mut self) -> LookEnd {
        self.waits.clear();
        let Some(target) = self.orders.target.current() else { return self.wait_for("no_target") };
        if let Err(error) = target.check() {
            log::warn!(error:% = error; "the target can't be ordered");
            return self.wait_for(error.label());
        }
        let look = match self.read().await {
            Ok(look) => look,
            Err(error) => {
                log::warn!(server:% = self.core.server, error:% = error; "state unread");
                return self.wait_for("state_unread");
            }
        };
        if look.sight == FenceSight::Successor {
            return LookEnd::Superseded;
        }
        let plan = ChangePlan::new(&target, &look.view);
        self.settle(&target, &look.view, &plan);
        let slots = self.slots(&target);
        if self.stops.ask_next(&target, &plan, slots, &mut self.evidence, &self.backoff).await {
            return LookEnd::Again;
        }
        self.waits.append(&mut self.stops.take_waits());
        let end = self.order(&target, &look, &plan, slots).await;
        self.report(&target, look.view, plan);
        end
    }

    /// Reads the engine's state, and what its fencing number says.
    async fn read(&mut self) -> Result<EngineLook, EngineError> {
        let asked = Instant::now();
        let state = read_state(&self.core.client).await?;
        let view = EngineReading::from(&state);
        let sight = self.fence.observe(view.fence);
        self.orders.metrics.fences.count(sight.label());
        self.orders.gate.note_loaded(view.loaded.keys().cloned().collect(), asked);
        Ok(EngineLook { asked, view, sight })
    }

    /// Notes loads that have ended, and serves on where stopping is not wanted any more.
    fn settle(&mut self, target: &ServerTarget, view: &EngineReading, plan: &ChangePlan) {
        let now = Instant::now();
        let awaited = std::mem::take(&mut self.awaited);
        for (weights, version) in awaited {
            let label = match view.loaded.get(&weights) {
                Some(loaded) if *loaded == version => "loaded",
                _ if view.has_failed(&weights, &version) => {
                    let pause = self.backoff.note_failure(&weights, now, rand::random());
                    let pause = pause.as_millis() as u64;
                    log::warn!(weights:% = weights, pause_ms = pause; "load failed");
                    "failed"
                }
                _ if view.is_loading(&weights, &version) => {
                    self.awaited.insert(weights, version);
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

    /// Sends the next order, if there is one, and checks its effect.
    async fn order(
        &mut self,
        target: &ServerTarget,
        look: &EngineLook,
        plan: &ChangePlan,
        slots: LoadSlots,
    ) -> LookEnd {
        let now = Instant::now();
        let load = next_load(target, plan, &self.backoff, &self.evidence, now);
        let slot = unused_slot(slots, self.used_slot).filter(|_| load.is_some());
        if load.is_some() && slot.is_none() {
            self.wait_for("load_slot");
        }
        let load = load.filter(|_| slot.is_some());
        let unload = self.stops.unloadable(plan, now);
        let rights = StepRights { load, unload, claim: self.claims(look.sight) };
        let Some(draft) = OrderDraft::next(target, &look.view, &rights) else {
            return LookEnd::Wait;
        };
        let mut permit = OrderPermit::new(look.asked, slot);
        let update = rights.load.as_ref().filter(|weights| plan.outdated.contains(weights));
        let deadline = update
            .and_then(|weights| update_deadline(target, weights, &self.evidence, now).flatten());
        if let Some(deadline) = deadline {
            permit.end_by(deadline);
        }
        self.send(target, &draft, &permit, rights.load.zip(slot)).await
    }

    /// Whether the engine has to be told who orders it.
    fn claims(&mut self, sight: FenceSight) -> bool {
        match sight {
            FenceSight::Own => self.unshown = 0,
            FenceSight::Restarted => self.unshown += 1,
            _ => {}
        }
        sight != FenceSight::Own && self.unshown <= MOST_UNSHOWN
    }

    async fn send(
        &mut self,
        target: &ServerTarget,
        draft: &OrderDraft,
        permit: &OrderPermit,
        load: Option<(WeightsRef, SlotUse)>,
    ) -> LookEnd {
        let fence = match self.fence.issue(target.revision) {
            Ok(fence) => fence,
            Err(FenceError::Contended) => return LookEnd::Superseded,
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
            OrderOutcome::NotSent(_) => return LookEnd::Wait,
            OrderOutcome::Stale { highest } => {
                return match self.fence.note_refused(highest) {
                    FenceSight::Successor => LookEnd::Superseded,
                    _ => LookEnd::Again,
                };
            }
            OrderOutcome::Obeyed => self.fence.note_obeyed(),
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
                self.awaited.insert(weights, version.clone());
            }
        }
        self.check_effect(draft, &outcome).await
    }

    async fn check_effect(&mut self, draft: &OrderDraft, outcome: &OrderOutcome) -> LookEnd {
        let effects = self.orders.metrics.effects.clone();
        let Ok(after) = self.read().await else {
            effects.count("unread");
            return LookEnd::Wait;
        };
        if after.sight == FenceSight::Successor {
            return LookEnd::Superseded;
        }
        let seen = draft.is_in_effect(&after.view);
        effects.count(if seen { "seen" } else { "missing" });
        if matches!(outcome, OrderOutcome::Obeyed) && !seen {
            log::warn!(server:% = self.core.server; "the order's effect is not seen");
        }
        LookEnd::Wait
    }

    fn report(&self, target: &ServerTarget, view: EngineReading, plan: ChangePlan) {
        let waits = self.waits.clone();
        self.orders.note_report(OrderReport { revision: Some(target.revision), view, plan, waits });
    }

    /// A newer agent stands beside the engine: this one orders nothing more and takes no work.
    fn step_back(&self) {
        log::warn!(server:% = self.core.server; "a newer agent orders the engine; stepping back");
        self.orders.metrics.superseded.set(1);
        self.orders.gate.supersede();
        self.core.leaving.trigger();
    }
}

/// Sleeps for at most a day, which is as good as for ever beside a timer.
async fn sleep_long(time: Duration) {
    const LONGEST: Duration = Duration::from_secs(86_400);
    monoio::time::sleep(time.min(LONGEST)).await;
}
