//! The queue of requests at a router while all slots of their service are taken.

mod caller_time;
mod completion_rate;
mod displacement;
mod flow_usage;
mod queue;
mod queue_refusal;
mod queued_request;
mod work_ahead;
mod work_rate;

pub use caller_time::CallerTime;
pub use completion_rate::{CompletionRate, RateEvidence};
pub use queue::{EnqueueOutcome, ServiceQueue};
pub use queue_refusal::QueueRefusal;
pub use queued_request::{request_work, FlowKey, QueuedRequest};
pub use work_rate::WorkRate;
