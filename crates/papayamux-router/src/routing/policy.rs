//! The routing policies.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Selects how a router chooses among the servers of a model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// A server chosen uniformly at random.
    Random,
    /// The less loaded of two random servers, both of which are probed for the decision.
    TwoChoices,
    /// The server that the chat's key hashes to.
    ConsistentHash,
    /// Consistent hashing with bounded loads: skips servers at which this router has too many
    /// requests in flight.
    BoundedHash,
    /// The shortest expected time to first token, by current load and the prompt blocks that the
    /// server actually has cached.
    #[default]
    Papayamux,
}

/// The error of parsing a [`RoutingPolicy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("known policies: random, two-choices, consistent-hash, bounded-hash, papayamux")]
pub struct PolicyError;

const NAMES: [(RoutingPolicy, &str); 5] = [
    (RoutingPolicy::Random, "random"),
    (RoutingPolicy::TwoChoices, "two-choices"),
    (RoutingPolicy::ConsistentHash, "consistent-hash"),
    (RoutingPolicy::BoundedHash, "bounded-hash"),
    (RoutingPolicy::Papayamux, "papayamux"),
];

impl FromStr for RoutingPolicy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let found = NAMES.iter().find(|(_, name)| *name == text);
        found.map(|(policy, _)| *policy).ok_or(PolicyError)
    }
}

impl fmt::Display for RoutingPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = NAMES.iter().find(|(policy, _)| policy == self);
        formatter.write_str(found.map_or("", |(_, name)| name))
    }
}
