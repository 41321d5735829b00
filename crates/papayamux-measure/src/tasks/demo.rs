//! `papayamux-measure demo`.

use super::MeasureTask;
use crate::demo::run_demo;

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "demo",
    purpose: "run a small fleet and a conversation of several turns",
    declare: |options| {
        options.optflag("", "keep", "keep the fleet up until Ctrl-C, for clients of your own");
    },
    run: |matches| run_demo(matches.opt_present("keep")),
};
