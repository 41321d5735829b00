//! The measurement `orders`: engines end as declared, within the weight store's rate.

mod experiment;
mod scenario;
mod trial_fleet;

pub use experiment::{measure_orders, OrderOptions};
