//! The items that the sections of a file declare.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use bon::Builder;
use papayamux_state::ids::{AdapterId, FailureDomain, ModelId, ServerId};
use papayamux_state::quantities::RequestCount;

use crate::values::{
    LoadBound, MethodName, PriorityClass, RequestRate, ShareFraction, ValueError, VersionName,
    WeightsName,
};

/// A declared value with the line of its section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located<T> {
    /// The line number of the section, starting at 1.
    pub line: usize,
    /// The content of the section.
    pub value: T,
}

/// `[organisation NAME]`: a customer whose requests the fleet accepts.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct OrganisationDeclaration {
    /// The priority class of its requests.
    pub priority: PriorityClass,
    /// Its share of the team's share of the fleet.
    pub share: ShareFraction,
    /// Maximum requests per second to the whole fleet; unlimited if `None`.
    pub request_rate: Option<RequestRate>,
    /// Maximum requests in flight in the whole fleet; unlimited if `None`.
    pub in_flight: Option<RequestCount>,
}

/// `[model NAME]`: a model that callers may request.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ModelDeclaration {
    /// The version to load.
    pub version: VersionName,
    /// The name of its weights in the weight store.
    pub weights: WeightsName,
    /// The bound on a server's load, as a multiple of the mean load of the model's servers.
    pub load_bound: LoadBound,
    /// `true` if the model is removed as soon as no adapter and no server refers to it.
    pub retiring: bool,
}

/// `[adapter NAME]`: an adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct AdapterDeclaration {
    /// The base model, declared in this file or another.
    pub model: ModelId,
    /// The version to load.
    pub version: VersionName,
    /// The name of its weights in the weight store.
    pub weights: WeightsName,
}

/// The phase of a request that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineRole {
    /// Prefill and decode.
    Both,
    /// Processing the prompt.
    Prefill,
    /// Generating the answer.
    Decode,
}

impl EngineRole {
    /// Returns the label used in files and in orders to engines.
    pub const fn label(self) -> &'static str {
        match self {
            EngineRole::Both => "both",
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
        }
    }
}

impl fmt::Display for EngineRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

impl FromStr for EngineRole {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        [EngineRole::Both, EngineRole::Prefill, EngineRole::Decode]
            .into_iter()
            .find(|role| role.label() == text)
            .ok_or_else(|| ValueError {
                text: text.to_string(),
                form: "a role: both, prefill or decode",
            })
    }
}

/// The models and adapters that a model engine should have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineDeclaration {
    /// The models, declared in this file or others.
    pub models: BTreeSet<ModelId>,
    /// The adapters, declared in this file or others.
    pub adapters: BTreeSet<AdapterId>,
    /// The phase of requests that the engine runs.
    pub role: EngineRole,
}

/// The kind of backend server behind an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine.
    Engine(EngineDeclaration),
    /// A plain service, the target of routes.
    Service,
}

/// `[server NAME]`: a backend server and its agent.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ServerDeclaration {
    /// The listen address of its agent.
    pub agent: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Maximum concurrent requests; the agent's settings decide if `None`.
    pub capacity: Option<RequestCount>,
    /// Engine or plain service.
    pub kind: ServerKind,
}

/// `[route /prefix]`: the servers for calls to paths under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDeclaration {
    /// The servers, declared in this file or others.
    pub servers: BTreeSet<ServerId>,
    /// Methods whose calls may be retried.
    pub idempotent_methods: BTreeSet<MethodName>,
    /// The priority class of the calls.
    pub priority: PriorityClass,
}
