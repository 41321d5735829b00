//! Measures the cost of control traffic for a process, as slopes against quantities that grow
//! with the fleet.

mod agent_standin;
mod chats;
mod links;
mod meter;
mod options;
mod requests;
mod router_standin;
mod run;
mod slope;

pub use options::{ControlOptions, ControlPart, ALL_PARTS};
pub use run::measure_control;
pub use slope::{fit_slope, Spread};
