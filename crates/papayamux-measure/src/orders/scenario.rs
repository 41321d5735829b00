//! Scenarios of the order measurement.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A scenario: the events at the engines or their agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderScenario {
    /// All engines start with nothing loaded.
    EmptyFleet,
    /// All models get a new version.
    NewVersion,
    /// A third of the engines restart empty at once.
    EnginesRestart,
    /// Engines ignore fencing numbers; each has a paused agent whose order arrives late and which
    /// is then resumed.
    LatePredecessors,
    /// The weight store answers fewer loads per second than declared.
    SlowStore,
    /// Half of the engines have to unload a model that the others keep.
    ModelMoves,
}

impl OrderScenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::EmptyFleet,
        Self::NewVersion,
        Self::EnginesRestart,
        Self::LatePredecessors,
        Self::SlowStore,
        Self::ModelMoves,
    ];

    /// Returns the scenario's name on the command line.
    pub const fn label(self) -> &'static str {
        match self {
            Self::EmptyFleet => "empty_fleet",
            Self::NewVersion => "new_version",
            Self::EnginesRestart => "engines_restart",
            Self::LatePredecessors => "late_predecessors",
            Self::SlowStore => "slow_store",
            Self::ModelMoves => "model_moves",
        }
    }

    /// Returns the number of loads per second that the weight store answers.
    pub const fn store_rate(self) -> u64 {
        match self {
            Self::SlowStore => DECLARED_RATE / 3,
            _ => DECLARED_RATE,
        }
    }

    /// Returns the models that the engines have loaded before any agent starts.
    pub const fn loaded(self) -> &'static str {
        match self {
            Self::EmptyFleet | Self::SlowStore => "",
            _ => "itinerary,refunds",
        }
    }
}

/// The weight store's rate as declared to the agents, in loads per second.
pub const DECLARED_RATE: u64 = 10;

/// The error of parsing a scenario's name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown scenario {0:?}")]
pub struct ScenarioError(String);

impl FromStr for OrderScenario {
    type Err = ScenarioError;

    fn from_str(text: &str) -> Result<Self, ScenarioError> {
        let found = Self::ALL.into_iter().find(|scenario| scenario.label() == text);
        found.ok_or_else(|| ScenarioError(text.to_string()))
    }
}

impl fmt::Display for OrderScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}
