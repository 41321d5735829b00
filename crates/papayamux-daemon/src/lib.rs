//! Parts shared by all daemons: command line, logs, metrics, signals and the operators' port.

pub mod command_line;
mod log_writer;
pub mod logging;
pub mod metrics;
pub mod operations;
pub mod signals;
