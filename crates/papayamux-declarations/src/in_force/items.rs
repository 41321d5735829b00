//! What is in force under each name.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use papayamux_state::ids::{AdapterId, FailureDomain, ModelId, ServerId};
use papayamux_state::quantities::RequestCount;

use super::block::Origin;
use crate::file::EngineRole;
use crate::values::{
    MethodName, PriorityClass, RequestRate, ShareFraction, VersionName, WeightsName,
};

/// Something in force with the place that declares it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declared<T> {
    /// File, revision and line.
    pub origin: Origin,
    /// What is in force.
    pub value: T,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// How urgent its requests are.
    pub priority: PriorityClass,
    /// Its share of the whole fleet; the shares of all organisations never exceed the whole.
    pub share: ShareFraction,
    /// Requests a second that it may send to the whole fleet.
    pub request_rate: Option<RequestRate>,
    /// Requests that it may have in flight in the whole fleet.
    pub in_flight: Option<RequestCount>,
}

/// What a server is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerTask {
    /// A model engine.
    Engine {
        /// Its models; each is in force.
        models: BTreeSet<ModelId>,
        /// Its adapters; each is in force and its model is among `models`.
        adapters: BTreeSet<AdapterId>,
        /// Its role.
        role: EngineRole,
    },
    /// A plain service.
    Service,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Where its agent listens; no two servers have the same.
    pub agent: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests that it may run at once, where its agent's settings are not to decide.
    pub capacity: Option<RequestCount>,
    /// What it is for.
    pub task: ServerTask,
}

/// A route to plain services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its servers; each is in force and a plain service. None may be left.
    pub servers: BTreeSet<ServerId>,
    /// Methods whose calls may be repeated.
    pub idempotent_methods: BTreeSet<MethodName>,
    /// How urgent the calls are.
    pub priority: PriorityClass,
}

/// What an engine is to be brought to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineTarget {
    /// Models with version and weights.
    pub models: Vec<(ModelId, VersionName, WeightsName)>,
    /// Adapters with model, version and weights.
    pub adapters: Vec<(AdapterId, ModelId, VersionName, WeightsName)>,
    /// The role.
    pub role: EngineRole,
}
