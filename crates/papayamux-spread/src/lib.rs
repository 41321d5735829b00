//! Spread of the platform's files to all processes: a few of them read the configuration
//! service, all pass versions on to each other, and none ever goes back to an older one.

pub mod configuration;
mod core;
mod exchange;
pub mod files;
mod instances;
pub mod metrics;
mod node;
pub mod peers;
pub mod rate_limit;
mod service;
pub mod settings;
pub mod settling;

pub use node::{ChangeSubscription, SpreadIdentity, SpreadNode};
