//! Runs load patterns against real routers on loopback and compares placement policies.

mod callers;
mod engine_kind;
mod engine_model;
mod footprint;
mod load_pattern;
mod options;
mod run;
mod summary;

pub use engine_kind::{EngineKind, UnknownKind};
pub use load_pattern::{draw_calls, LoadPattern, PlannedCall};
pub use options::SurgeOptions;
pub use run::run_surge;
pub use summary::{summarize, CallOutcome, SurgeSummary};
