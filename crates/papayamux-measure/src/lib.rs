//! Measurements and the demo, on real processes.

pub mod command_line;
pub mod config;
mod conflicts;
mod demo;
mod orders;
mod path;
pub mod promises;
pub mod routing;
mod tasks;
