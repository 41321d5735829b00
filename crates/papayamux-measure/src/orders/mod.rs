//! The measurement `orders`: engines converge to the declared models within the weight store's
//! rate.

mod experiment;
mod scenario;
mod trial_fleet;

pub use experiment::{measure_orders, OrderOptions};
