//! The request path that sends requests directly to backend servers, without agents.

mod active_request;
mod admission;
mod attempt;
mod attempt_watch;
mod cache_survey;
mod call;
mod call_handler;
mod call_plan;
mod crash_attribution;
mod daemon;
mod event_splitter;
mod fleet;
mod interface;
mod metrics;
mod peers;
mod retry_outcome;
mod settings;
mod source_follower;
mod stream_relay;

pub use call::{CallFailure, CallHead, CallId, NotRunReason};
pub use call_handler::CallHandler;
pub use daemon::run_direct_router;
pub use event_splitter::{CompleteEvents, EventSplitter, EventTooLong};
pub use fleet::Fleet;
pub use interface::{AnswerVerdict, CacheList, CacheListError, CallInterface, Dispatch};
pub use metrics::DirectMetrics;
pub use settings::{DirectSettings, FleetSettings};
pub use source_follower::{FleetSource, ReadRecency, SourceRead};
