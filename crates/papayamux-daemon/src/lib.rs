//! What every daemon shares: command line, logs, signals, and the operators' port.

pub mod command_line;
mod log_writer;
pub mod logging;
pub mod metrics;
pub mod operations;
pub mod signals;
