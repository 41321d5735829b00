//! The configuration in force as a whole.

use std::collections::BTreeMap;
use std::fmt;

use http::Method;
use papayamux_state::ids::{AdapterId, ModelId, OrganisationId, ServerId};

use super::block::BlockedItem;
use super::items::{Declared, EngineTarget, Organisation, Route, Server, ServerTask};
use crate::file::{AdapterDeclaration, ModelDeclaration};
use crate::file_set::RefusedRevision;
use crate::values::{FileName, FileRevision, MethodName, PathPrefix};

/// A file whose newest revision is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileRefusal {
    /// The name of the file.
    pub file: FileName,
    /// The older revision that stays in force; `None` if no valid one is known.
    pub in_force: Option<FileRevision>,
    /// The refused revision and its findings.
    pub refused: RefusedRevision,
}

/// The sum of the revisions in force of all files. It increases with each change and never
/// decreases, regardless of the order in which a process receives the changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(u64);

impl Generation {
    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The configuration in force, with all declarations that are refused or without effect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigurationInForce {
    /// The revision in force of each file, including deleted files.
    pub files: BTreeMap<FileName, FileRevision>,
    /// Organisations in force.
    pub organisations: BTreeMap<OrganisationId, Declared<Organisation>>,
    /// Models in force.
    pub models: BTreeMap<ModelId, Declared<ModelDeclaration>>,
    /// Adapters in force; the model of each is in force too.
    pub adapters: BTreeMap<AdapterId, Declared<AdapterDeclaration>>,
    /// Backend servers in force.
    pub servers: BTreeMap<ServerId, Declared<Server>>,
    /// Routes in force.
    pub routes: BTreeMap<PathPrefix, Declared<Route>>,
    /// Files whose newest revision is refused, sorted by name.
    pub refused: Vec<FileRefusal>,
    /// Parts of accepted files without effect, sorted by location.
    pub blocked: Vec<BlockedItem>,
}

impl ConfigurationInForce {
    /// Returns the sum of the revisions in force.
    pub fn generation(&self) -> Generation {
        let revisions = self.files.values().map(|revision| revision.get());
        Generation(revisions.fold(0, u64::saturating_add))
    }

    /// Returns the engines that should load `model`, sorted by name.
    pub fn servers_of_model<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> impl Iterator<Item = (&'a ServerId, &'a Server)> {
        self.servers.iter().map(|(server, declared)| (server, &declared.value)).filter(
            |(_, server)| match &server.task {
                ServerTask::Engine { models, .. } => models.contains(model),
                ServerTask::Service => false,
            },
        )
    }

    /// Returns the route with the longest prefix that covers `path`.
    pub fn route_of(&self, path: &str) -> Option<(&PathPrefix, &Declared<Route>)> {
        let matching = self.routes.iter().filter(|(prefix, _)| prefix.covers(path));
        matching.max_by_key(|(prefix, _)| prefix.as_str().len())
    }

    /// Returns `true` if a call may be retried; `false` if no route covers `path`.
    pub fn is_idempotent(&self, path: &str, method: &Method) -> bool {
        let method = MethodName::of(method);
        self.route_of(path)
            .is_some_and(|(_, route)| route.value.idempotent_methods.contains(&method))
    }

    /// Returns the target state of the engine `server`; `None` if no such engine is in force.
    pub fn engine_target(&self, server: &ServerId) -> Option<EngineTarget> {
        let ServerTask::Engine { models, adapters, role } = &self.servers.get(server)?.value.task
        else {
            return None;
        };
        let models = models.iter().filter_map(|name| {
            let model = &self.models.get(name)?.value;
            Some((name.clone(), model.version.clone(), model.weights.clone()))
        });
        let adapters = adapters.iter().filter_map(|name| {
            let adapter = &self.adapters.get(name)?.value;
            let AdapterDeclaration { model, version, weights } = adapter.clone();
            Some((name.clone(), model, version, weights))
        });
        Some(EngineTarget { models: models.collect(), adapters: adapters.collect(), role: *role })
    }
}
