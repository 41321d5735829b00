//! The router: accepts requests from callers and forwards them to the agents of backend servers.

mod agents;
mod caller_memory_metrics;
mod callers;
pub mod claims;
mod configuration;
pub mod daemon;
pub mod direct;
mod directory;
pub mod metrics;
pub mod routing;
pub mod settings;
