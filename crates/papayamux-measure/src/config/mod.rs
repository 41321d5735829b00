//! How fast a change of the configuration is in force everywhere, and what its spread costs.

mod options;
mod report;
mod sampler;
mod scenario;
mod scenarios;

pub use options::ConfigOptions;
pub use report::ConfigReport;
pub use scenario::{ConfigScenario, ALL_SCENARIOS};

use std::error::Error;

/// Runs the scenarios, each on a fleet of its own, and prints a line of JSON for each.
pub fn measure_config(options: &ConfigOptions) -> Result<(), Box<dyn Error>> {
    for scenario in &options.scenarios {
        let report = scenarios::run_scenario(*scenario, options)?;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}
