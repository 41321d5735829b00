//! The model engine stand-in: batches continuously, caches prompt prefixes in limited memory.

mod answer_plan;
mod batch;
mod http_interface;
mod options;
mod prefix_cache;

pub use answer_plan::{expected_answer, AnswerPlan};
pub use http_interface::serve_engine;
pub use options::EngineOptions;
