//! `papayamux-measure conflicts`.

use super::MeasureTask;
use crate::conflicts::measure_conflicts;

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "conflicts",
    purpose: "compare rules for clashes between declaration files",
    declare: |options| {
        options.optopt("", "seed", "seed of the histories", "NUMBER");
    },
    run: |matches| {
        let seed = matches.opt_str("seed").ok_or("conflicts needs --seed")?;
        measure_conflicts(seed.parse()?)
    },
};
