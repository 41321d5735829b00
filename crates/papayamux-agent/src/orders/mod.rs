//! Orders to the engine: the agent reconciles its engine with the declared target, and refuses
//! requests for weights that are not loaded.

mod engine_client;
mod metrics;
mod model_gate;
mod order_core;
mod order_permit;
mod order_settings;
mod order_task;
mod serving_client;
mod step_choice;
mod stop_requests;
mod target_watch;

pub use metrics::OrderMetrics;
pub use model_gate::{GatePass, ModelGate};
pub use order_core::OrderCore;
pub use order_settings::{read_orders, OrderSettings};
pub use order_task::OrderTask;
pub use target_watch::{declared_target, TargetWatch};
