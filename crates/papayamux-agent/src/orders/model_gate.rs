//! Admits requests by the models and adapters that the engine has loaded.

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

/// The last known set of weights that the engine has loaded, and the requests that use them.
///
/// While the engine's state is unknown, no request is refused for weights that are not loaded: the
/// engine itself refuses those that it can't serve.
#[derive(Debug)]
pub struct ModelGate {
    max_state_age: Duration,
    loaded: RefCell<Option<LoadedSet>>,
    closed: RefCell<BTreeSet<WeightsRef>>,
    running: RefCell<BTreeMap<WeightsRef, u64>>,
    superseded: Cell<bool>,
}

/// Counts a request as running on its weights until the pass is dropped.
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
    /// Creates a gate that relies on an engine's state for `max_state_age` after it was read.
    pub fn new(max_state_age: Duration) -> Rc<Self> {
        Rc::new(Self {
            max_state_age,
            loaded: RefCell::default(),
            closed: RefCell::default(),
            running: RefCell::default(),
            superseded: Cell::new(false),
        })
    }

    /// Records the weights that the engine had loaded when its state was requested at `read`.
    pub fn record_loaded(&self, weights: BTreeSet<WeightsRef>, read: Instant) {
        *self.loaded.borrow_mut() = Some(LoadedSet { weights, read });
    }

    /// Refuses requests for `closed` and admits those for all other weights again.
    pub fn set_closed(&self, closed: BTreeSet<WeightsRef>) {
        *self.closed.borrow_mut() = closed;
    }

    /// Refuses all requests from now on, because a newer agent controls the engine.
    pub fn supersede(&self) {
        self.superseded.set(true);
    }

    /// Returns whether a newer agent controls the engine.
    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Returns whether requests for `weights` are known to be served at `now`, according to a state
    /// that is at most half of the maximum age old.
    pub fn is_serving(&self, weights: &WeightsRef, now: Instant) -> bool {
        !self.superseded.get()
            && !self.closed.borrow().contains(weights)
            && self.fresh(now, self.max_state_age / 2, |loaded| loaded.contains(weights))
                == Some(true)
    }

    /// Returns the number of running requests that use `weights`.
    pub fn running(&self, weights: &WeightsRef) -> u64 {
        self.running.borrow().get(weights).copied().unwrap_or(0)
    }

    /// Admits or refuses a request at `now`. `chat` is `None` for a request that is not a chat.
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
