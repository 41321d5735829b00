//! `papayamux-measure path`.

use super::MeasureTask;
use crate::path::run_path;

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "path",
    purpose: "what router and agent add to a call: latency, requests, events, memory",
    declare: |_| {},
    run: |_| run_path(),
};
