//! What a measurement of the configuration's spread runs.

use super::scenario::ConfigScenario;

/// Options of the measurement.
#[derive(Debug, Clone)]
pub struct ConfigOptions {
    /// Seed of what is changed.
    pub seed: u64,
    /// Routers in each fleet.
    pub processes: usize,
    /// The scenarios to run.
    pub scenarios: Vec<ConfigScenario>,
}
