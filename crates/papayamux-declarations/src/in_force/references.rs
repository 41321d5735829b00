//! References between files. A reference to an item that is not in force has no effect until the item
//! is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use papayamux_state::ids::{AdapterId, ModelId, ServerId};

use super::block::{BlockReason, BlockedItem};
use super::items::{Declared, Server, ServerTask};
use super::ownership::{Owned, OwnedItems};
use crate::file::{
    AdapterDeclaration, EngineDeclaration, Located, ModelDeclaration, ParsedFile,
    ServerDeclaration, ServerKind,
};
use crate::values::ItemKind;

/// Returns `true` if `name`, as used by `user`, refers to the declaration that owns the name. A file
/// that declares the name itself refers to its own declaration, so that it never gets another team's
/// in its place.
pub(super) fn resolves_to_owner<K: Ord, V>(
    owned: &OwnedItems<'_, K, V>,
    user: &Owned<'_, impl Sized>,
    name: &K,
    select: impl Fn(&ParsedFile) -> &BTreeMap<K, Located<V>>,
) -> bool {
    let declares_itself = select(user.file.parsed).contains_key(name);
    owned.get(name).is_some_and(|item| !declares_itself || item.file.name == user.file.name)
}

fn missing(kind: ItemKind, name: &impl fmt::Display) -> BlockReason {
    BlockReason::Missing { kind, name: name.to_string() }
}

/// Removes each retiring model that no adapter and no server refers to any more.
pub(super) fn retire_models(
    models: &mut OwnedItems<'_, ModelId, ModelDeclaration>,
    adapters: &OwnedItems<'_, AdapterId, AdapterDeclaration>,
    servers: &OwnedItems<'_, ServerId, ServerDeclaration>,
    blocked: &mut Vec<BlockedItem>,
) {
    let mut used: BTreeSet<&ModelId> = BTreeSet::new();
    for adapter in adapters.values() {
        let model = &adapter.located.value.model;
        if resolves_to_owner(models, adapter, model, |parsed| &parsed.models) {
            used.insert(model);
        }
    }
    for server in servers.values() {
        if let ServerKind::Engine(engine) = &server.located.value.kind {
            let named = engine.models.iter();
            used.extend(
                named.filter(|name| resolves_to_owner(models, server, name, |file| &file.models)),
            );
        }
    }
    models.retain(|name, model| {
        let retired = model.located.value.retiring && !used.contains(name);
        if retired {
            blocked.push(model.blocked(ItemKind::Model, name, None, BlockReason::Retired));
        }
        !retired
    });
}

/// Blocks each adapter whose model is not in force.
pub(super) fn resolve_adapters(
    models: &OwnedItems<'_, ModelId, ModelDeclaration>,
    adapters: &mut OwnedItems<'_, AdapterId, AdapterDeclaration>,
    blocked: &mut Vec<BlockedItem>,
) {
    adapters.retain(|name, adapter| {
        let model = &adapter.located.value.model;
        let kept = resolves_to_owner(models, adapter, model, |parsed| &parsed.models);
        if !kept {
            let reason = missing(ItemKind::Model, model);
            blocked.push(adapter.blocked(ItemKind::Adapter, name, Some("model"), reason));
        }
        kept
    });
}

/// Returns the servers in force, each with only those of its models and adapters that are in force.
pub(super) fn resolve_servers(
    models: &OwnedItems<'_, ModelId, ModelDeclaration>,
    adapters: &OwnedItems<'_, AdapterId, AdapterDeclaration>,
    servers: &OwnedItems<'_, ServerId, ServerDeclaration>,
    blocked: &mut Vec<BlockedItem>,
) -> BTreeMap<ServerId, Declared<Server>> {
    let mut resolved = BTreeMap::new();
    for (name, item) in servers {
        let declaration = &item.located.value;
        let task = match &declaration.kind {
            ServerKind::Service => ServerTask::Service,
            ServerKind::Engine(engine) => {
                EngineReferences { models, adapters, name, item, engine }.resolve(blocked)
            }
        };
        let server = Server {
            agent: declaration.agent,
            domain: declaration.domain.clone(),
            capacity: declaration.capacity,
            task,
        };
        resolved.insert((*name).clone(), Declared { origin: item.origin(), value: server });
    }
    resolved
}

/// The references of one engine to models and adapters.
struct EngineReferences<'a, 'b> {
    models: &'a OwnedItems<'b, ModelId, ModelDeclaration>,
    adapters: &'a OwnedItems<'b, AdapterId, AdapterDeclaration>,
    name: &'a ServerId,
    item: &'a Owned<'b, ServerDeclaration>,
    engine: &'a EngineDeclaration,
}

impl EngineReferences<'_, '_> {
    fn resolve(&self, blocked: &mut Vec<BlockedItem>) -> ServerTask {
        let mut block = |key, reason| {
            blocked.push(self.item.blocked(ItemKind::Server, self.name, Some(key), reason));
        };
        let mut models = BTreeSet::new();
        for model in &self.engine.models {
            match resolves_to_owner(self.models, self.item, model, |parsed| &parsed.models) {
                true => drop(models.insert(model.clone())),
                false => block("models", missing(ItemKind::Model, model)),
            }
        }
        let mut adapters = BTreeSet::new();
        for adapter in &self.engine.adapters {
            match self.adapter_fault(adapter, &models) {
                None => drop(adapters.insert(adapter.clone())),
                Some(reason) => block("adapters", reason),
            }
        }
        ServerTask::Engine { models, adapters, role: self.engine.role }
    }

    fn adapter_fault(&self, name: &AdapterId, models: &BTreeSet<ModelId>) -> Option<BlockReason> {
        let resolves = resolves_to_owner(self.adapters, self.item, name, |parsed| &parsed.adapters);
        match self.adapters.get(name).filter(|_| resolves) {
            None => Some(missing(ItemKind::Adapter, name)),
            Some(adapter) => {
                let model = &adapter.located.value.model;
                let fault = BlockReason::ModelNotOnServer { model: model.to_string() };
                (!models.contains(model)).then_some(fault)
            }
        }
    }
}
