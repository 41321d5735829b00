//! Measures the cost of control traffic for a process, as slopes against quantities that grow
//! with the fleet.

mod agent_end;
mod chats;
mod links;
mod meter;
mod options;
mod requests;
mod router_end;
mod run;
mod slope;

pub use options::{ControlOptions, ControlPart, ALL_PARTS};
pub use run::measure_control;
pub use slope::{fit_slope, Spread};
