//! The router: takes requests from callers and brings them to the agents of backend servers.

mod agents;
mod callers;
pub mod claims;
mod configuration;
pub mod daemon;
mod directory;
pub mod metrics;
pub mod routing;
pub mod settings;
