//! Computes the configuration in force, one kind of item after the other.

use std::collections::{BTreeMap, BTreeSet};

use super::block::{BlockReason, BlockedItem};
use super::configuration_in_force::{ConfigurationInForce, FileRefusal};
use super::items::{Declared, Route, Server, ServerTask};
use super::ownership::{files_in_force, resolve_agents, resolve_names, OwnedItems, Ownership};
use super::references::{resolve_adapters, resolve_servers, resolves_to_owner, retire_models};
use super::shares::{cap_priority, resolve_organisations};
use crate::file::{RouteDeclaration, ServerDeclaration};
use crate::file_set::FileSet;
use crate::values::{ItemKind, PathPrefix};
use papayamux_state::ids::ServerId;

impl ConfigurationInForce {
    /// Computes the configuration from `set` and nothing else.
    pub fn compute(set: &FileSet) -> Self {
        let files = files_in_force(set);
        let ownership = Ownership::new(&files);
        let mut blocked = Vec::new();
        let organisations = resolve_names(
            &files,
            &ownership,
            ItemKind::Organisation,
            |parsed| &parsed.organisations,
            &mut blocked,
        );
        let mut models = resolve_names(
            &files,
            &ownership,
            ItemKind::Model,
            |parsed| &parsed.models,
            &mut blocked,
        );
        let mut adapters = resolve_names(
            &files,
            &ownership,
            ItemKind::Adapter,
            |parsed| &parsed.adapters,
            &mut blocked,
        );
        let mut owned_servers = resolve_names(
            &files,
            &ownership,
            ItemKind::Server,
            |parsed| &parsed.servers,
            &mut blocked,
        );
        let owned_routes = resolve_names(
            &files,
            &ownership,
            ItemKind::Route,
            |parsed| &parsed.routes,
            &mut blocked,
        );
        resolve_agents(&mut owned_servers, &mut blocked);
        retire_models(&mut models, &adapters, &owned_servers, &mut blocked);
        resolve_adapters(&models, &mut adapters, &mut blocked);
        let servers = resolve_servers(&models, &adapters, &owned_servers, &mut blocked);
        let routes =
            resolve_routes(&ownership, &owned_servers, &owned_routes, &servers, &mut blocked);
        let organisations = resolve_organisations(&ownership, &organisations, &mut blocked);
        blocked.sort();
        ConfigurationInForce {
            files: files.iter().map(|file| (file.name.clone(), file.revision)).collect(),
            organisations,
            models: declared(models),
            adapters: declared(adapters),
            servers,
            routes,
            refused: refusals(set),
            blocked,
        }
    }
}

fn declared<K: Clone + Ord, V: Clone>(items: OwnedItems<'_, K, V>) -> BTreeMap<K, Declared<V>> {
    let declared = items.into_iter().map(|(name, item)| {
        (name.clone(), Declared { origin: item.origin(), value: item.located.value.clone() })
    });
    declared.collect()
}

fn resolve_routes(
    ownership: &Ownership<'_>,
    owned_servers: &OwnedItems<'_, ServerId, ServerDeclaration>,
    owned_routes: &OwnedItems<'_, PathPrefix, RouteDeclaration>,
    servers: &BTreeMap<ServerId, Declared<Server>>,
    blocked: &mut Vec<BlockedItem>,
) -> BTreeMap<PathPrefix, Declared<Route>> {
    let mut resolved = BTreeMap::new();
    for (prefix, item) in owned_routes {
        let declaration = &item.located.value;
        let mut services = BTreeSet::new();
        for name in &declaration.servers {
            let task = servers.get(name).map(|server| &server.value.task);
            let task =
                task.filter(|_| resolves_to_owner(owned_servers, item, name, |file| &file.servers));
            let reason = match task {
                Some(ServerTask::Service) => {
                    services.insert(name.clone());
                    continue;
                }
                Some(ServerTask::Engine { .. }) => {
                    BlockReason::NotAService { server: name.to_string() }
                }
                None => BlockReason::Missing { kind: ItemKind::Server, name: name.to_string() },
            };
            blocked.push(item.blocked(ItemKind::Route, prefix, Some("servers"), reason));
        }
        let (kind, priority) = (ItemKind::Route, declaration.priority);
        let route = Route {
            servers: services,
            idempotent_methods: declaration.idempotent_methods.clone(),
            priority: cap_priority(ownership, item, (kind, prefix.as_str(), priority), blocked),
        };
        resolved.insert((*prefix).clone(), Declared { origin: item.origin(), value: route });
    }
    resolved
}

fn refusals(set: &FileSet) -> Vec<FileRefusal> {
    let refusals = set.records().filter_map(|(name, record)| {
        let refused = record.refused()?.clone();
        let in_force = record.valid().map(|file| file.revision);
        Some(FileRefusal { file: name.clone(), in_force, refused })
    });
    refusals.collect()
}
