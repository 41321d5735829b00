//! `papayamux-measure promises`.

use getopts::{Matches, Options};

use super::{MeasureTask, TaskError};
use crate::promises::{run_promises, PromiseOptions};

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "promises",
    purpose: "what callers are told and what really ran while links, agents and routers fail",
    declare,
    run: |matches| run_promises(&promise_options(matches)?),
};

fn declare(options: &mut Options) {
    options.optopt("", "seed", "draws workload and faults", "NUMBER");
    options.optmulti("", "scenario", "a scenario (all)", "NAME");
    options.optopt("", "requests", "requests of each scenario", "COUNT");
}

fn promise_options(matches: &Matches) -> Result<PromiseOptions, TaskError> {
    Ok(PromiseOptions::builder()
        .maybe_seed(matches.opt_get("seed")?)
        .scenarios(matches.opt_strs("scenario"))
        .maybe_requests(matches.opt_get("requests")?)
        .build())
}
