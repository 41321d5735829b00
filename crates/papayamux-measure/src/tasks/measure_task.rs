//! What the command line has to know of a task, and the list of all tasks.

use std::error::Error;

use getopts::{Matches, Options};

use super::{
    config, conflicts, control, demo, orders, path, promises, routing, soak, surge, table,
};

/// Why a task can't be run to its end.
pub type TaskError = Box<dyn Error>;

/// One task of the program.
pub struct MeasureTask {
    /// Its name on the command line.
    pub name: &'static str,
    /// One line on what it does.
    pub purpose: &'static str,
    /// Adds the task's own options.
    pub declare: fn(&mut Options),
    /// Runs the task.
    pub run: fn(&Matches) -> Result<(), TaskError>,
}

/// All tasks.
pub const TASKS: &[MeasureTask] = &[
    config::TASK,
    demo::TASK,
    path::TASK,
    routing::TASK,
    table::TASK,
    promises::TASK,
    conflicts::TASK,
    orders::TASK,
    control::TASK,
    soak::TASK,
    surge::TASK,
];

/// The task of that name.
pub fn find_task(name: &str) -> Option<&'static MeasureTask> {
    TASKS.iter().find(|task| task.name == name)
}
