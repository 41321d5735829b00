//! The agent of one backend server: admits requests from routers, runs them at the server and
//! delivers the answers.

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
mod request_memory;
mod router_link;
mod run;
mod server_exchange;
pub mod settings;
mod trust;
