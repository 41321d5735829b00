//! Measurements and a demo that run on real processes.

pub mod command_line;
pub mod config;
mod conflicts;
pub mod control;
mod demo;
mod front_settings;
mod orders;
mod path;
pub mod promises;
pub mod routing;
pub mod soak;
pub mod surge;
mod tasks;
