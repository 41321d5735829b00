//! Requests that wait at a router while all places of their service are taken.

mod line;
mod line_request;
mod work_rate;

pub use line::{LineArrival, LineRefusal, ServiceLine};
pub use line_request::{line_patience, request_work, FlowKey, LineRequest};
pub use work_rate::WorkRate;
