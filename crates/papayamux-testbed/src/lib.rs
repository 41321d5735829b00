//! Real processes for the demo, the tests and the measurements: started here, stopped on drop.

mod caller;
mod fleet;
mod process;
mod usage;

pub use caller::{chat_request, Caller, CallerAnswer, CallerError};
pub use fleet::{Fleet, FleetPlan, RunningServer, FLEET_MODEL, FLEET_PATH};
pub use process::{ProcessHandle, TestbedError};
pub use usage::ProcessUsage;
