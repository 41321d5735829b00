//! Stand-in for a model engine, with continuous batching and a bounded prefix cache.

mod answer_plan;
mod answer_record;
mod batch;
mod batch_state;
mod chat_interface;
mod event_log;
mod failure;
mod http_interface;
mod job;
mod kv_blob;
mod kv_interface;
mod loaded_weights;
mod model_loader;
mod options;
mod prefix_cache;
mod request_table;

pub use answer_plan::{expected_answer, AnswerPlan};
pub use event_log::{EventLog, EventLogOptions};
pub use http_interface::{serve_engine, RUNS_PATH, TRUE_LOAD_PATH};
pub use options::EngineOptions;
pub use prefix_cache::PrefixCache;
