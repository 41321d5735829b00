//! What separates an engine from its target, and the next order on the way.

use std::collections::{BTreeMap, BTreeSet};

use papayamux_protocol::engine::{EngineOrder, EngineState, EngineWeights};
use papayamux_state::weights::{WeightsKind, WeightsRef};

use super::fence::FenceNumber;
use super::server_target::ServerTarget;

/// Name and version. An engine's list of loads does not tell models from adapters.
type NamedVersion = (String, String);

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineSnapshot {
    /// The fencing number of the last order obeyed.
    pub fence: Option<u64>,
    /// The present role.
    pub role: String,
    /// What answers requests, with versions.
    pub loaded: BTreeMap<WeightsRef, String>,
    loading: BTreeSet<NamedVersion>,
    failed: BTreeSet<NamedVersion>,
}

impl From<&EngineState> for EngineSnapshot {
    fn from(state: &EngineState) -> Self {
        let of_kind = |kind: WeightsKind, list: &[EngineWeights]| -> Vec<(WeightsRef, String)> {
            let named = |weights: &EngineWeights| {
                (WeightsRef { kind, name: weights.name.clone() }, weights.version.clone())
            };
            list.iter().map(named).collect()
        };
        let mut loaded = BTreeMap::new();
        loaded.extend(of_kind(WeightsKind::Model, &state.models));
        loaded.extend(of_kind(WeightsKind::Adapter, &state.adapters));
        let loading =
            state.loading.iter().map(|weights| (weights.name.clone(), weights.version.clone()));
        let failed = state.failed.iter().map(|load| (load.name.clone(), load.version.clone()));
        Self {
            fence: state.fence,
            role: state.role.clone(),
            loaded,
            loading: loading.collect(),
            failed: failed.collect(),
        }
    }
}

impl EngineSnapshot {
    /// Whether `version` of `weights` is being loaded.
    pub fn is_loading(&self, weights: &WeightsRef, version: &str) -> bool {
        self.loading.contains(&(weights.name.clone(), version.to_string()))
    }

    /// Whether the last load of `version` of `weights` failed.
    pub fn has_failed(&self, weights: &WeightsRef, version: &str) -> bool {
        self.failed.contains(&(weights.name.clone(), version.to_string()))
    }

    /// Loads that go on.
    pub fn loads(&self) -> usize {
        self.loading.len()
    }
}

/// What separates an engine from its target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangePlan {
    /// Weights to be loaded where none of their versions is.
    pub missing: Vec<WeightsRef>,
    /// Weights of which another version is loaded.
    pub outdated: Vec<WeightsRef>,
    /// Weights loaded beyond the target.
    pub surplus: Vec<WeightsRef>,
    /// Loads that go on.
    pub loading: usize,
    /// Whether the role is another one.
    pub role: bool,
}

impl ChangePlan {
    /// Compares an engine with its target.
    pub fn new(target: &ServerTarget, view: &EngineSnapshot) -> Self {
        let mut plan =
            Self { loading: view.loads(), role: view.role != target.role, ..Self::default() };
        for (weights, version) in &target.weights {
            match view.loaded.get(weights) {
                Some(loaded) if loaded == version => {}
                _ if view.is_loading(weights, version) => {}
                Some(_) => plan.outdated.push(weights.clone()),
                None => plan.missing.push(weights.clone()),
            }
        }
        let surplus = view.loaded.keys().filter(|weights| !target.weights.contains_key(weights));
        plan.surplus = surplus.cloned().collect();
        plan
    }

    /// Whether the engine is as its target says.
    pub fn is_done(&self) -> bool {
        *self == Self::default()
    }
}

/// Why an order is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderReason {
    /// It makes the agent known as the one that orders the engine.
    Claim,
    /// Weights are missing.
    Load,
    /// Weights have another version.
    Update,
    /// Weights are not wanted any more.
    Unload,
    /// A load is not wanted any more.
    CancelLoad,
    /// The role is another one.
    Role,
}

impl OrderReason {
    /// The stable word for metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            OrderReason::Claim => "claim",
            OrderReason::Load => "load",
            OrderReason::Update => "update",
            OrderReason::Unload => "unload",
            OrderReason::CancelLoad => "cancel_load",
            OrderReason::Role => "role",
        }
    }
}

/// What the next order may do.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepRights {
    /// Weights that may begin to load: one load a slot of the weight store.
    pub load: Option<WeightsRef>,
    /// Weights that may be unloaded.
    pub unload: BTreeSet<WeightsRef>,
    /// Whether an order is due although it changes nothing.
    pub claim: bool,
}

/// An order without its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderDraft {
    /// All that the engine is to have, with versions.
    pub weights: BTreeMap<WeightsRef, String>,
    /// The role.
    pub role: String,
    /// Why it is sent; never empty.
    pub reasons: Vec<OrderReason>,
}

impl OrderDraft {
    /// The next order towards `target`, or none where nothing is to be ordered now. Since an
    /// order is the engine's whole target, it repeats all that may not change yet.
    pub fn next(target: &ServerTarget, view: &EngineSnapshot, rights: &StepRights) -> Option<Self> {
        let mut draft =
            Self { weights: BTreeMap::new(), role: target.role.clone(), reasons: Vec::new() };
        if rights.claim {
            draft.reasons.push(OrderReason::Claim);
        }
        draft.add_wanted(target, view, rights);
        draft.add_surplus(target, view, rights);
        let is_stray = |load: &NamedVersion| {
            !draft.weights.iter().any(|(weights, version)| {
                (weights.name.as_str(), version.as_str()) == (load.0.as_str(), load.1.as_str())
            })
        };
        if view.loading.iter().any(is_stray) {
            draft.reasons.push(OrderReason::CancelLoad);
        }
        if view.role != target.role {
            draft.reasons.push(OrderReason::Role);
        }
        (!draft.reasons.is_empty()).then_some(draft)
    }

    fn add_wanted(&mut self, target: &ServerTarget, view: &EngineSnapshot, rights: &StepRights) {
        for (weights, version) in &target.weights {
            let loaded = view.loaded.get(weights);
            let may_load = rights.load.as_ref() == Some(weights);
            let kept = match loaded {
                Some(loaded) if loaded == version => Some(version),
                _ if view.is_loading(weights, version) => Some(version),
                Some(_) if may_load => {
                    self.reasons.push(OrderReason::Update);
                    Some(version)
                }
                None if may_load => {
                    self.reasons.push(OrderReason::Load);
                    Some(version)
                }
                other => other,
            };
            if let Some(kept) = kept {
                self.weights.insert(weights.clone(), kept.clone());
            }
        }
    }

    fn add_surplus(&mut self, target: &ServerTarget, view: &EngineSnapshot, rights: &StepRights) {
        for (weights, version) in &view.loaded {
            if target.weights.contains_key(weights) {
                continue;
            }
            if rights.unload.contains(weights) {
                self.reasons.push(OrderReason::Unload);
            } else {
                self.weights.insert(weights.clone(), version.clone());
            }
        }
    }

    /// The order as sent, with its number.
    pub fn number(&self, fence: FenceNumber) -> EngineOrder {
        let names = |kind: WeightsKind| {
            let of_kind = self.weights.keys().filter(|weights| weights.kind == kind);
            of_kind.map(|weights| weights.name.clone()).collect()
        };
        let versions = self.weights.iter();
        EngineOrder {
            fence: fence.get(),
            models: names(WeightsKind::Model),
            adapters: names(WeightsKind::Adapter),
            versions: versions
                .map(|(weights, version)| (weights.name.clone(), version.clone()))
                .collect(),
            role: self.role.clone(),
        }
    }

    /// Whether `view` shows the order's effect: all it names loaded, loading or failed, nothing
    /// else loaded.
    pub fn is_in_effect(&self, view: &EngineSnapshot) -> bool {
        let is_there = |(weights, version): (&WeightsRef, &String)| {
            view.loaded.get(weights) == Some(version)
                || view.is_loading(weights, version)
                || view.has_failed(weights, version)
        };
        view.role == self.role
            && self.weights.iter().all(is_there)
            && view.loaded.keys().all(|weights| self.weights.contains_key(weights))
    }
}
