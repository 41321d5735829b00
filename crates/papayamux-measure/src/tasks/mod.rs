//! The tasks of the command line, one file a task: its options, and how it is run.

mod config;
mod conflicts;
mod control;
mod demo;
mod measure_task;
mod orders;
mod path;
mod promises;
mod routing;
mod soak;
mod surge;
mod table;

pub use measure_task::{find_task, MeasureTask, TaskError, TASKS};
