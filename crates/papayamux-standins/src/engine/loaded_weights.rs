//! Load state of the engine's models and adapters.

use std::collections::{BTreeMap, HashMap};

use papayamux_protocol::engine::{
    root_hash, EngineOrder, EngineState, EngineWeights, FailedLoad, DEFAULT_VERSION,
};
use papayamux_state::ids::ServerId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::options::EngineOptions;

/// Distinguishes the weights of models and adapters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum WeightsKind {
    Model,
    Adapter,
}

/// Identifies a model or an adapter, independent of its version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightsKey {
    kind: WeightsKind,
    /// Name of the model or adapter.
    pub name: String,
}

impl WeightsKey {
    /// Creates the key of a model.
    pub fn model(name: &str) -> Self {
        Self { kind: WeightsKind::Model, name: name.to_string() }
    }

    /// Creates the key of an adapter.
    pub fn adapter(name: &str) -> Self {
        Self { kind: WeightsKind::Adapter, name: name.to_string() }
    }
}

/// Versions by model and adapter.
type VersionTable = BTreeMap<WeightsKey, String>;

/// Models and adapters that are loaded, loading or failed, and the last accepted order's fence and
/// role.
#[derive(Debug, Default)]
pub struct LoadedWeights {
    fence: Option<u64>,
    highest_fence: u64,
    role: String,
    loaded: VersionTable,
    loading: VersionTable,
    failed: BTreeMap<WeightsKey, FailedLoad>,
}

impl LoadedWeights {
    /// Creates the initial state, with the models and adapters of the options loaded.
    pub fn new(options: &EngineOptions) -> Self {
        let models = options.models.iter().map(|model| WeightsKey::model(model.as_str()));
        let adapters = options.adapters.iter().map(|adapter| WeightsKey::adapter(adapter.as_str()));
        let loaded = models.chain(adapters).map(|key| (key, DEFAULT_VERSION.to_string()));
        Self { loaded: loaded.collect(), ..Self::default() }
    }

    /// Returns `true` if `key` is loaded, so that requests for it are answered.
    pub fn is_loaded(&self, key: &WeightsKey) -> bool {
        self.loaded.contains_key(key)
    }

    /// Returns the highest fencing number of all applied orders.
    pub fn highest_fence(&self) -> u64 {
        self.highest_fence
    }

    /// Applies an order: unloads what it does not name, and returns what has to be loaded.
    pub fn retarget(&mut self, order: EngineOrder) -> Vec<(WeightsKey, String)> {
        let targets = order_targets(&order);
        self.fence = Some(order.fence);
        self.highest_fence = self.highest_fence.max(order.fence);
        self.role = order.role;
        self.failed.clear();
        self.loaded.retain(|key, _| targets.contains_key(key));
        self.loading.retain(|key, version| targets.get(key) == Some(version));
        let missing = targets.into_iter().filter(|(key, version)| {
            self.loaded.get(key) != Some(version) && !self.loading.contains_key(key)
        });
        let missing: Vec<_> = missing.collect();
        self.loading.extend(missing.iter().cloned());
        missing
    }

    /// Records the result of a load. It is ignored if a later order has superseded the load.
    pub fn loaded(&mut self, key: WeightsKey, version: String, result: Result<(), String>) {
        if self.loading.get(&key) != Some(&version) {
            return;
        }
        self.loading.remove(&key);
        match result {
            Ok(()) => {
                self.loaded.insert(key, version);
            }
            Err(reason) => {
                let name = key.name.clone();
                self.failed.insert(key, FailedLoad { name, version, reason });
            }
        }
    }

    /// Returns the root hashes of all chains that can be cached, each with an identity that differs
    /// between versions of the weights.
    pub fn roots(&self) -> HashMap<u64, u64> {
        let mut roots = HashMap::new();
        for (model, version) in self.of_kind(WeightsKind::Model) {
            let model_identity = xxh3_64_with_seed(version.as_bytes(), 0);
            roots.insert(root_hash(&model.name, None), model_identity);
            for (adapter, version) in self.of_kind(WeightsKind::Adapter) {
                let identity = xxh3_64_with_seed(version.as_bytes(), model_identity);
                roots.insert(root_hash(&model.name, Some(&adapter.name)), identity);
            }
        }
        roots
    }

    /// Returns the state as published over HTTP.
    pub fn state(&self, server: &ServerId) -> EngineState {
        EngineState {
            name: server.to_string(),
            fence: self.fence,
            role: self.role.clone(),
            models: self.of_kind(WeightsKind::Model).map(published).collect(),
            adapters: self.of_kind(WeightsKind::Adapter).map(published).collect(),
            loading: self.loading.iter().map(published).collect(),
            failed: self.failed.values().cloned().collect(),
        }
    }

    fn of_kind(&self, kind: WeightsKind) -> impl Iterator<Item = (&WeightsKey, &String)> {
        self.loaded.iter().filter(move |(key, _)| key.kind == kind)
    }
}

fn published((key, version): (&WeightsKey, &String)) -> EngineWeights {
    EngineWeights { name: key.name.clone(), version: version.clone() }
}

fn order_targets(order: &EngineOrder) -> VersionTable {
    let models = order.models.iter().map(|name| WeightsKey::model(name));
    let adapters = order.adapters.iter().map(|name| WeightsKey::adapter(name));
    let version_of = |name: &str| order.versions.get(name).map_or(DEFAULT_VERSION, String::as_str);
    models.chain(adapters).map(|key| (key.clone(), version_of(&key.name).to_string())).collect()
}
