//! Messages between papayamux processes, and the interfaces to callers, backend servers and the
//! platform.

pub mod chat;
mod crash_notices;
pub mod engine;
pub mod event_id;
pub mod failure;
pub mod fleet_update;
pub mod fleet_view;
pub mod headers;
pub mod link;
pub mod origin_notices;
pub mod part_inquiry;
pub mod peer;
pub mod platform;
pub mod proof;
pub mod queue_exchange;
pub mod router_report;
mod service_configuration;
pub mod serving;
pub mod wire;
