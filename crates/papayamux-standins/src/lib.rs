//! Stand-ins of outside systems, for the demo, the tests and the measurements. Never shipped.

pub mod call_meter;
pub mod command_line;
pub mod config_service;
pub mod engine;
pub mod fault_proxy;
pub mod instance_list;
pub mod kinds;
pub mod lagged;
pub mod query;
pub mod request_body;
pub mod respond;
pub mod run_tag;
pub mod service;
pub mod weight_store;
