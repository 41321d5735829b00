//! Measurements and the demo, on real processes.

pub mod command_line;
mod conflicts;
mod demo;
mod path;
