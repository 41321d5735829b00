//! Options of the configuration propagation measurement.

use super::scenario::ConfigScenario;

/// Options of the measurement.
#[derive(Debug, Clone)]
pub struct ConfigOptions {
    /// The seed of the changes.
    pub seed: u64,
    /// The number of routers in each fleet.
    pub processes: usize,
    /// The scenarios to run.
    pub scenarios: Vec<ConfigScenario>,
}
