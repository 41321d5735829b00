//! `papayamux-measure control`.

use getopts::{Matches, Options};

use super::{MeasureTask, TaskError};
use crate::control::{measure_control, ControlOptions, ALL_PARTS};

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "control",
    purpose: "what control costs a process for each connection, probe, request and chat",
    declare,
    run: |matches| measure_control(&control_options(matches)?),
};

/// Default number of repetitions.
const REPETITIONS: usize = 3;

fn declare(options: &mut Options) {
    options.optmulti("", "part", "a part (all)", "NAME");
    options.optopt("", "repetitions", "times that each part is measured (3)", "COUNT");
}

fn control_options(matches: &Matches) -> Result<ControlOptions, TaskError> {
    let repetitions = matches.opt_get("repetitions")?.unwrap_or(REPETITIONS);
    let names = matches.opt_strs("part");
    let parts = match names.is_empty() {
        true => ALL_PARTS.to_vec(),
        false => names.iter().map(|name| name.parse()).collect::<Result<_, _>>()?,
    };
    Ok(ControlOptions { parts, repetitions })
}
