//! Starts and controls real fleet processes for the demo, the tests and the measurements.
//!
//! Dropping a handle stops its processes.

mod caller;
mod chat_stream;
mod event_counter;
mod fleet;
mod http_reader;
mod link_control;
mod order_fleet;
mod outcome;
mod process;
mod process_view;
mod running_server;
mod spread_fleet;
mod usage;
mod waiting;

pub use caller::{chat_request, Caller, CallerAnswer, CallerError};
pub use chat_stream::{ChatStream, StreamEvent};
pub use event_counter::EventCounter;
pub use fleet::{Fleet, FleetPlan, FLEET_MODEL, FLEET_PATH};
pub use link_control::LinkControl;
pub use order_fleet::{has_models, OrderFleet, OrderPlan};
pub use outcome::CallerOutcome;
pub use process::{ProcessHandle, TestbedError};
pub use process_view::{AgentStatus, MetricsReading, OrderStatus, RouterStatus};
pub use running_server::{RunningServer, RunsReader};
pub use spread_fleet::{InForceStatus, SpreadFleet, SpreadPlan, SpreadProcess, SpreadStatus};
pub use usage::ProcessUsage;
pub use waiting::wait_until;
