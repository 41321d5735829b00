//! The whole of what is in force.

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
    /// The file.
    pub file: FileName,
    /// The revision in its place; `None` where no valid one is known.
    pub in_force: Option<FileRevision>,
    /// The refused revision and its findings.
    pub refused: RefusedRevision,
}

/// How far the files have come: the sum of their revisions in force. It rises with each change
/// and never falls, whatever order a process hears the changes in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(u64);

impl Generation {
    /// The bare number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// What is in force, what is not, and why.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigurationInForce {
    /// The revision in force of each file, deleted ones included.
    pub files: BTreeMap<FileName, FileRevision>,
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, Declared<Organisation>>,
    /// Models.
    pub models: BTreeMap<ModelId, Declared<ModelDeclaration>>,
    /// Adapters; each one's model is in force.
    pub adapters: BTreeMap<AdapterId, Declared<AdapterDeclaration>>,
    /// Backend servers.
    pub servers: BTreeMap<ServerId, Declared<Server>>,
    /// Routes.
    pub routes: BTreeMap<PathPrefix, Declared<Route>>,
    /// Files whose newest revision is refused, by name.
    pub refused: Vec<FileRefusal>,
    /// Parts of accepted files without effect, in the order of their places.
    pub blocked: Vec<BlockedItem>,
}

impl ConfigurationInForce {
    /// How far the files have come.
    pub fn generation(&self) -> Generation {
        let revisions = self.files.values().map(|revision| revision.get());
        Generation(revisions.fold(0, u64::saturating_add))
    }

    /// The servers of a model, by name.
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

    /// The route of a path: the one with the longest prefix.
    pub fn route_of(&self, path: &str) -> Option<(&PathPrefix, &Declared<Route>)> {
        let matching = self.routes.iter().filter(|(prefix, _)| prefix.covers(path));
        matching.max_by_key(|(prefix, _)| prefix.as_str().len())
    }

    /// Whether a call may be repeated; one that no route takes may not.
    pub fn is_idempotent(&self, path: &str, method: &Method) -> bool {
        let method = MethodName::of(method);
        self.route_of(path)
            .is_some_and(|(_, route)| route.value.idempotent_methods.contains(&method))
    }

    /// What the engine behind `server` is to be brought to; `None` where no such engine is
    /// declared.
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
