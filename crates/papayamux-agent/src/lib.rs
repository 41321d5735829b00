//! The agent: stands beside one backend server, decides what it takes, and runs it there.

mod accept;
mod admitted_run;
mod agent_core;
pub mod answers;
pub mod claims;
mod crash_notifier;
pub mod daemon;
mod engine_follower;
mod engine_view;
mod link_shutdown;
pub mod metrics;
pub mod orders;
mod router_link;
mod run;
mod server_exchange;
pub mod settings;
mod trust;
