//! `papayamux-measure demo`.

use super::MeasureTask;
use crate::demo::run_demo;

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "demo",
    purpose: "run a small fleet and a conversation of several turns",
    declare: |_| {},
    run: |_| run_demo(),
};
