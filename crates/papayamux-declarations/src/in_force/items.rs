//! The items of the configuration in force.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use papayamux_state::ids::{AdapterId, FailureDomain, ModelId, ServerId};
use papayamux_state::quantities::RequestCount;

use super::block::Origin;
use crate::file::EngineRole;
use crate::values::{
    MethodName, PriorityClass, RequestRate, ShareFraction, VersionName, WeightsName,
};

/// A value in force with the location of its declaration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declared<T> {
    /// The file, revision and line of the declaration.
    pub origin: Origin,
    /// The value in force.
    pub value: T,
}

/// An organisation in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// The priority class of its requests.
    pub priority: PriorityClass,
    /// Its share of the whole fleet; the shares of all organisations never exceed the whole.
    pub share: ShareFraction,
    /// Maximum requests per second to the whole fleet; unlimited if `None`.
    pub request_rate: Option<RequestRate>,
    /// Maximum requests in flight in the whole fleet; unlimited if `None`.
    pub in_flight: Option<RequestCount>,
}

/// The purpose of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerTask {
    /// A model engine.
    Engine {
        /// The models to load; each is in force.
        models: BTreeSet<ModelId>,
        /// The adapters to load; each is in force and its model is among `models`.
        adapters: BTreeSet<AdapterId>,
        /// The phase of requests that the engine runs.
        role: EngineRole,
    },
    /// A plain service.
    Service,
}

/// A backend server in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// The listen address of its agent, unique among the servers.
    pub agent: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Maximum concurrent requests; the agent's settings decide if `None`.
    pub capacity: Option<RequestCount>,
    /// Engine or plain service.
    pub task: ServerTask,
}

/// A route to plain services in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The target servers, all in force and plain services; may be empty.
    pub servers: BTreeSet<ServerId>,
    /// Methods whose calls may be retried.
    pub idempotent_methods: BTreeSet<MethodName>,
    /// The priority class of the calls.
    pub priority: PriorityClass,
}

/// The target state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineTarget {
    /// The models to load, with version and weights.
    pub models: Vec<(ModelId, VersionName, WeightsName)>,
    /// The adapters to load, with model, version and weights.
    pub adapters: Vec<(AdapterId, ModelId, VersionName, WeightsName)>,
    /// The phase of requests that the engine runs.
    pub role: EngineRole,
}
