//! The scenarios by name.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use thiserror::Error;

/// What happens to the fleet and to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigScenario {
    /// Changes of small files, one after the other.
    Healthy,
    /// Changes of small files at sixty a minute.
    Busy,
    /// The service is down, then back with changes.
    ServiceDown,
    /// The service shows an old state, then the present one.
    Stale,
    /// The service goes back to an older state, then on.
    RolledBack,
    /// All processes start again at once.
    RestartAll,
    /// All processes start again at once while the service is down; then it is back.
    RestartAllServiceBack,
    /// Two halves with services of their own meet.
    PartitionHeal,
    /// Processes start while the service is down.
    Newcomer,
    /// A file of a megabyte comes whole, and then one line of it changes.
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
    /// The scenario's name.
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

/// Why a text names no scenario.
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
