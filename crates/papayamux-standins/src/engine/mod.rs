//! The model engine stand-in: batches continuously, caches prompt prefixes in limited memory.

mod answer_plan;
mod batch;
mod event_log;
mod http_interface;
mod options;
mod prefix_cache;

pub use answer_plan::{expected_answer, AnswerPlan};
pub use event_log::{EventLog, EventLogOptions};
pub use http_interface::{serve_engine, TRUE_LOAD_PATH};
pub use options::EngineOptions;
pub use prefix_cache::PrefixCache;
