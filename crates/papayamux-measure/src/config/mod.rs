//! Measures the time until a configuration change is in force everywhere, and the cost of its
//! propagation.

mod options;
mod report;
mod sampler;
mod scenario;
mod scenarios;

pub use options::ConfigOptions;
pub use report::ConfigReport;
pub use scenario::{ConfigScenario, ALL_SCENARIOS};

use std::error::Error;

/// Runs the scenarios, each on its own fleet, and prints one JSON line per scenario.
pub fn measure_config(options: &ConfigOptions) -> Result<(), Box<dyn Error>> {
    for scenario in &options.scenarios {
        let report = scenarios::run_scenario(*scenario, options)?;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}
