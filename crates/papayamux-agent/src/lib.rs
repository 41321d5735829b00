//! The agent: stands beside one backend server, decides what it takes, and runs it there.

pub mod answers;
pub mod claims;
pub mod daemon;
pub mod metrics;
mod router_link;
mod run;
mod server_exchange;
pub mod settings;
mod trust;
