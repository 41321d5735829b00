//! The tasks of the command line, with one file per task for its options and its entry point.

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
