//! Compares an engine with its target and derives the next order.

use std::collections::{BTreeMap, BTreeSet};

use papayamux_protocol::engine::{EngineOrder, EngineState, EngineWeights};
use papayamux_state::weights::{WeightsKind, WeightsRef};

use super::fence::FenceNumber;
use super::server_target::ServerTarget;

/// Name and version. An engine's list of loads doesn't distinguish models from adapters.
type NamedVersion = (String, String);

/// Snapshot of the state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineSnapshot {
    /// Fencing number of the last order obeyed.
    pub fence: Option<u64>,
    /// Current role.
    pub role: String,
    /// Loaded weights, which can answer requests, with versions.
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
    /// Returns whether `version` of `weights` is being loaded.
    pub fn is_loading(&self, weights: &WeightsRef, version: &str) -> bool {
        self.loading.contains(&(weights.name.clone(), version.to_string()))
    }

    /// Returns whether the last load of `version` of `weights` failed.
    pub fn has_failed(&self, weights: &WeightsRef, version: &str) -> bool {
        self.failed.contains(&(weights.name.clone(), version.to_string()))
    }

    /// Returns the number of loads in progress.
    pub fn loads(&self) -> usize {
        self.loading.len()
    }
}

/// The differences between an engine and its target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangePlan {
    /// Weights to be loaded of which no version is loaded.
    pub missing: Vec<WeightsRef>,
    /// Weights to be loaded of which another version is loaded.
    pub outdated: Vec<WeightsRef>,
    /// Loaded weights that the target doesn't contain.
    pub surplus: Vec<WeightsRef>,
    /// Number of loads in progress.
    pub loading: usize,
    /// `true` if the role differs.
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

    /// Returns whether the engine matches its target.
    pub fn is_done(&self) -> bool {
        *self == Self::default()
    }
}

/// The reason for sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderReason {
    /// Establishes the agent as the one that orders the engine.
    Claim,
    /// Loads missing weights.
    Load,
    /// Loads another version of loaded weights.
    Update,
    /// Unloads weights that are no longer wanted.
    Unload,
    /// Cancels a load that is no longer wanted.
    CancelLoad,
    /// Changes the role.
    Role,
}

impl OrderReason {
    /// Returns the stable label for metrics and logs.
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

/// The changes that the next order may make.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepRights {
    /// Weights whose load may start; each slot of the weight store admits one load.
    pub load: Option<WeightsRef>,
    /// Weights that may be unloaded.
    pub unload: BTreeSet<WeightsRef>,
    /// `true` if an order must be sent even if it changes nothing.
    pub claim: bool,
}

/// An order without its fencing number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderDraft {
    /// All weights that the engine must have, with versions.
    pub weights: BTreeMap<WeightsRef, String>,
    /// Role of the engine.
    pub role: String,
    /// Reasons for sending the order; never empty.
    pub reasons: Vec<OrderReason>,
}

impl OrderDraft {
    /// Returns the next order towards `target`, or `None` if there is nothing to order now. As an order
    /// is the engine's complete target, it repeats everything that may not change yet.
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

    /// Returns the order as sent, with its fencing number.
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

    /// Returns whether `view` shows the order's effect: all weights that it names are loaded, loading or
    /// failed, no others are loaded, and the role matches.
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
