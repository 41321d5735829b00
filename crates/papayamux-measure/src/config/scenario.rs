//! Scenarios of the configuration propagation measurement.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use thiserror::Error;

/// A scenario: the events at the fleet and at the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigScenario {
    /// Sequential changes of small files.
    Healthy,
    /// Sequential changes of small files, about 60 per minute at most.
    Busy,
    /// The service is down, then returns with changes.
    ServiceDown,
    /// The service serves an old state, then the current one.
    Stale,
    /// The service rolls back to an older state, then returns to the current one.
    RolledBack,
    /// All processes restart at once.
    RestartAll,
    /// All processes restart at once while the service is down; then the service returns.
    RestartAllServiceBack,
    /// Two halves of the fleet, each with its own service, become connected.
    PartitionHeal,
    /// Processes start while the service is down.
    Newcomer,
    /// A file of 1 MB is added, and then one line of it changes.
    LargeFile,
}

/// All scenarios.
pub const ALL_SCENARIOS: [ConfigScenario; 10] = [
    ConfigScenario::Healthy,
    ConfigScenario::Busy,
    ConfigScenario::ServiceDown,
    ConfigScenario::Stale,
    ConfigScenario::RolledBack,
    ConfigScenario::RestartAll,
    ConfigScenario::RestartAllServiceBack,
    ConfigScenario::PartitionHeal,
    ConfigScenario::Newcomer,
    ConfigScenario::LargeFile,
];

impl ConfigScenario {
    /// Returns the scenario's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            ConfigScenario::Healthy => "healthy",
            ConfigScenario::Busy => "busy",
            ConfigScenario::ServiceDown => "service-down",
            ConfigScenario::Stale => "stale",
            ConfigScenario::RolledBack => "rolled-back",
            ConfigScenario::RestartAll => "restart-all",
            ConfigScenario::RestartAllServiceBack => "restart-all-service-back",
            ConfigScenario::PartitionHeal => "partition-heal",
            ConfigScenario::Newcomer => "newcomer",
            ConfigScenario::LargeFile => "large-file",
        }
    }
}

/// The error of parsing a scenario's name.
#[derive(Debug, Error)]
#[error("unknown scenario {0:?}")]
pub struct ScenarioError(String);

impl FromStr for ConfigScenario {
    type Err = ScenarioError;

    fn from_str(text: &str) -> Result<Self, ScenarioError> {
        let named = ALL_SCENARIOS.into_iter().find(|scenario| scenario.name() == text);
        named.ok_or_else(|| ScenarioError(text.to_string()))
    }
}

impl fmt::Display for ConfigScenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
