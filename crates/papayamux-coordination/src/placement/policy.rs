//! Policies that choose a server for a prompt: the default, and baselines for comparison.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A policy for choosing a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The lowest expected time to the first token, taking cached prompt tokens into account.
    #[default]
    Warm,
    /// The lowest expected time to the first token, ignoring caches.
    LeastWait,
    /// The less loaded of two randomly chosen servers.
    TwoChoices,
    /// The first server in the order of the prompt's group that is within the load bound.
    BoundedHash,
    /// A random server.
    Random,
}

/// All policies.
const POLICIES: [PlacementPolicy; 5] = [
    PlacementPolicy::Warm,
    PlacementPolicy::LeastWait,
    PlacementPolicy::TwoChoices,
    PlacementPolicy::BoundedHash,
    PlacementPolicy::Random,
];

/// The error of parsing a [`PlacementPolicy`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{0:?} is not a placement policy; use warm, least-wait, two-choices, bounded-hash or random"
)]
pub struct PolicyError(String);

impl fmt::Display for PlacementPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PlacementPolicy::Warm => "warm",
            PlacementPolicy::LeastWait => "least-wait",
            PlacementPolicy::TwoChoices => "two-choices",
            PlacementPolicy::BoundedHash => "bounded-hash",
            PlacementPolicy::Random => "random",
        })
    }
}

impl FromStr for PlacementPolicy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let known = POLICIES.into_iter().find(|policy| policy.to_string() == text);
        known.ok_or_else(|| PolicyError(text.to_string()))
    }
}
