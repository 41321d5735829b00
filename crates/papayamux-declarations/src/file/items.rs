//! What the sections of a file declare.

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

/// A value with the line of its section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Located<T> {
    /// The line of the section, counted from 1.
    pub line: usize,
    /// What stands there.
    pub value: T,
}

/// `[organisation NAME]`: a customer whose requests the fleet takes.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct OrganisationDeclaration {
    /// How urgent its requests are.
    pub priority: PriorityClass,
    /// Its share of what the fleet grants its team.
    pub share: ShareFraction,
    /// Requests a second that it may send to the whole fleet.
    pub request_rate: Option<RequestRate>,
    /// Requests that it may have in flight in the whole fleet.
    pub in_flight: Option<RequestCount>,
}

/// `[model NAME]`: a model that callers may ask for.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ModelDeclaration {
    /// The version to load.
    pub version: VersionName,
    /// What the weight store calls it.
    pub weights: WeightsName,
    /// How far a server's load may exceed the mean.
    pub load_bound: LoadBound,
    /// Whether the model goes as soon as no adapter and no server names it any more.
    pub retiring: bool,
}

/// `[adapter NAME]`: an adapter on top of a model.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct AdapterDeclaration {
    /// The model it belongs to, of this file or another.
    pub model: ModelId,
    /// The version to load.
    pub version: VersionName,
    /// What the weight store calls it.
    pub weights: WeightsName,
}

/// What part of the work of a request an engine takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineRole {
    /// The whole of it.
    Both,
    /// The prompt.
    Prefill,
    /// The answer.
    Decode,
}

impl EngineRole {
    /// The word in files and orders.
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

/// What a model engine is to have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineDeclaration {
    /// Models, of this file or others.
    pub models: BTreeSet<ModelId>,
    /// Adapters, of this file or others.
    pub adapters: BTreeSet<AdapterId>,
    /// Its role.
    pub role: EngineRole,
}

/// What kind of backend server stands behind an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerKind {
    /// A model engine.
    Engine(EngineDeclaration),
    /// A plain service, which routes lead to.
    Service,
}

/// `[server NAME]`: a backend server with the agent beside it.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct ServerDeclaration {
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests that it may run at once, where its agent's settings are not to decide.
    pub capacity: Option<RequestCount>,
    /// What it is.
    pub kind: ServerKind,
}

/// `[route /prefix]`: where calls to paths of plain services go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDeclaration {
    /// Servers, of this file or others.
    pub servers: BTreeSet<ServerId>,
    /// Methods whose calls may be repeated.
    pub idempotent_methods: BTreeSet<MethodName>,
    /// How urgent the calls are.
    pub priority: PriorityClass,
}
