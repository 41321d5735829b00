//! `papayamux-measure orders`.

use getopts::Options;

use super::MeasureTask;
use crate::orders::{measure_orders, OrderOptions};

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "orders",
    purpose: "whether engines end as declared, and what the weight store sees of it",
    declare,
    run: |matches| {
        let seed = matches.opt_str("seed").ok_or("orders needs --seed")?.parse()?;
        let scenarios = matches.opt_strs("scenario");
        let scenarios = scenarios.iter().map(|name| name.parse()).collect::<Result<Vec<_>, _>>()?;
        measure_orders(&OrderOptions {
            seed,
            scenarios,
            engines: matches.opt_get_default("engines", 12)?,
        })
    },
};

fn declare(options: &mut Options) {
    options.optopt("", "seed", "which engines fail", "NUMBER");
    options.optmulti("", "scenario", "a scenario (all)", "NAME");
    options.optopt("", "engines", "engines of the fleet (12)", "COUNT");
}
