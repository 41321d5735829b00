//! Distribution of the platform's files to all processes. A few processes read the configuration
//! service, all exchange versions with their peers, and no process ever returns to an older
//! version.

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
