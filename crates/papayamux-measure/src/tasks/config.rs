//! `papayamux-measure config`.

use getopts::{Matches, Options};

use super::{MeasureTask, TaskError};
use crate::config::{measure_config, ConfigOptions, ALL_SCENARIOS};

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "config",
    purpose: "how fast a change is in force everywhere, and what its spread costs",
    declare,
    run: |matches| measure_config(&config_options(matches)?),
};

/// Default number of routers in a fleet, about the size of current deployments.
const PROCESSES: usize = 30;

fn declare(options: &mut Options) {
    options.optopt("", "seed", "seed of what is changed", "NUMBER");
    options.optopt("", "processes", "routers in each fleet (30)", "COUNT");
    options.optmulti("", "scenario", "a scenario (all)", "NAME");
}

fn config_options(matches: &Matches) -> Result<ConfigOptions, TaskError> {
    let seed = matches.opt_str("seed").ok_or("config needs --seed")?.parse()?;
    let processes = matches.opt_str("processes").map(|text| text.parse()).transpose()?;
    let names = matches.opt_strs("scenario");
    let scenarios = match names.is_empty() {
        true => ALL_SCENARIOS.to_vec(),
        false => names.iter().map(|name| name.parse()).collect::<Result<_, _>>()?,
    };
    Ok(ConfigOptions { seed, processes: processes.unwrap_or(PROCESSES), scenarios })
}
