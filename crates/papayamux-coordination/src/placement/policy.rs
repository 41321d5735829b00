//! How a server is chosen for a prompt: our way, and the baselines that it is measured against.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A way to choose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The least expected time to the first token, by what servers hold of the prompt.
    #[default]
    Warm,
    /// The least expected time, without regard to what servers hold.
    LeastWait,
    /// The less loaded of two servers that are drawn.
    TwoChoices,
    /// The first server in the group's order that is within the load bound.
    BoundedHash,
    /// Any server.
    Random,
}

/// Every way.
const POLICIES: [PlacementPolicy; 5] = [
    PlacementPolicy::Warm,
    PlacementPolicy::LeastWait,
    PlacementPolicy::TwoChoices,
    PlacementPolicy::BoundedHash,
    PlacementPolicy::Random,
];

/// Why a text is not a policy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is no policy; use warm, least-wait, two-choices, bounded-hash or random")]
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
