//! Stand-ins for external systems, used by the demo, tests and measurements. Not shipped.

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
