//! The queue of requests at a router while all slots of their service are taken.

mod arrival_rate;
mod caller_time;
mod completion_rate;
mod queue;
mod queued_request;

pub use arrival_rate::ArrivalRate;
pub use caller_time::CallerTime;
pub use completion_rate::CompletionRate;
pub use queue::{EnqueueOutcome, QueueRefusal, ServiceQueue};
pub use queued_request::{request_work, FlowKey, QueuedRequest};
