//! Compares rules for conflicts between declaration files over random histories.

mod experiment;
mod history;
mod rules;

pub use experiment::measure_conflicts;
