//! The description of a task for the command line, and the list of all tasks.

use std::error::Error;

use getopts::{Matches, Options};

use super::{
    config, conflicts, control, demo, orders, path, promises, routing, soak, surge, table,
};

/// The error that stops a task.
pub type TaskError = Box<dyn Error>;

/// A task of the program.
pub struct MeasureTask {
    /// The task's name on the command line.
    pub name: &'static str,
    /// A one-line description.
    pub purpose: &'static str,
    /// Declares the task's own options.
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

/// Returns the task with the given name.
pub fn find_task(name: &str) -> Option<&'static MeasureTask> {
    TASKS.iter().find(|task| task.name == name)
}
