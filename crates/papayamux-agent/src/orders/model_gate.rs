//! Which models and adapters the agent takes requests for.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_protocol::link::ChatTarget;
use papayamux_state::refusal::RefusalReason;
use papayamux_state::weights::{WeightsKind, WeightsRef};

#[derive(Debug)]
struct LoadedSet {
    weights: BTreeSet<WeightsRef>,
    read: Instant,
}

/// What the engine has loaded as far as the agent knows, and the requests that use it.
///
/// While the engine's state is not known, nothing is refused: the engine itself says what it has.
#[derive(Debug)]
pub struct ModelGate {
    max_state_age: Duration,
    loaded: RefCell<Option<LoadedSet>>,
    closed: RefCell<BTreeSet<WeightsRef>>,
    running: RefCell<BTreeMap<WeightsRef, u64>>,
    superseded: Cell<bool>,
}

/// A request's place at the gate; dropping it says that the request has ended.
#[derive(Debug)]
pub struct GatePass {
    gate: Rc<ModelGate>,
    weights: Vec<WeightsRef>,
}

impl Drop for GatePass {
    fn drop(&mut self) {
        let mut running = self.gate.running.borrow_mut();
        for weights in &self.weights {
            if let Some(count) = running.get_mut(weights) {
                *count -= 1;
                if *count == 0 {
                    running.remove(weights);
                }
            }
        }
    }
}

impl ModelGate {
    /// A gate that relies on an engine's state for `fresh_for` after it was read.
    pub fn new(max_state_age: Duration) -> Rc<Self> {
        Rc::new(Self {
            max_state_age,
            loaded: RefCell::default(),
            closed: RefCell::default(),
            running: RefCell::default(),
            superseded: Cell::new(false),
        })
    }

    /// Notes what the engine had loaded when its state was asked for at `read`.
    pub fn record_loaded(&self, weights: BTreeSet<WeightsRef>, read: Instant) {
        *self.loaded.borrow_mut() = Some(LoadedSet { weights, read });
    }

    /// Takes no requests for `closed`, and again for all others.
    pub fn set_closed(&self, closed: BTreeSet<WeightsRef>) {
        *self.closed.borrow_mut() = closed;
    }

    /// Takes no requests at all any more: a newer agent stands beside the engine.
    pub fn supersede(&self) {
        self.superseded.set(true);
    }

    /// Whether a newer agent stands beside the engine.
    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Whether requests for `weights` are known to be answered at `now`, by a state read recently.
    pub fn is_serving(&self, weights: &WeightsRef, now: Instant) -> bool {
        !self.superseded.get()
            && !self.closed.borrow().contains(weights)
            && self.fresh(now, self.max_state_age / 2, |loaded| loaded.contains(weights))
                == Some(true)
    }

    /// Requests that use `weights`.
    pub fn running(&self, weights: &WeightsRef) -> u64 {
        self.running.borrow().get(weights).copied().unwrap_or(0)
    }

    /// Decides on a chat at `now`.
    pub fn admit(
        self: &Rc<Self>,
        chat: Option<&ChatTarget>,
        now: Instant,
    ) -> Result<GatePass, RefusalReason> {
        if self.superseded.get() {
            return Err(RefusalReason::Superseded);
        }
        let model = chat.map(|chat| WeightsRef::model(&chat.model));
        let adapter = chat.and_then(|chat| chat.adapter.as_ref()).map(WeightsRef::adapter);
        let weights: Vec<_> = model.into_iter().chain(adapter).collect();
        for weights in &weights {
            self.check(weights, now)?;
        }
        let mut running = self.running.borrow_mut();
        for weights in &weights {
            *running.entry(weights.clone()).or_default() += 1;
        }
        drop(running);
        Ok(GatePass { gate: self.clone(), weights })
    }

    fn check(&self, weights: &WeightsRef, now: Instant) -> Result<(), RefusalReason> {
        if self.closed.borrow().contains(weights) {
            return Err(RefusalReason::Unloading);
        }
        match (self.fresh(now, self.max_state_age, |loaded| loaded.contains(weights)), weights.kind)
        {
            (None | Some(true), _) => Ok(()),
            (Some(false), WeightsKind::Model) => Err(RefusalReason::ModelNotLoaded),
            (Some(false), WeightsKind::Adapter) => Err(RefusalReason::AdapterNotLoaded),
        }
    }

    fn fresh<T>(
        &self,
        now: Instant,
        within: Duration,
        query: impl FnOnce(&BTreeSet<WeightsRef>) -> T,
    ) -> Option<T> {
        let loaded = self.loaded.borrow();
        let loaded = loaded.as_ref()?;
        (now.saturating_duration_since(loaded.read) <= within).then(|| query(&loaded.weights))
    }
}
