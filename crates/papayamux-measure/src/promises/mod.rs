//! Checks that the guarantees to callers hold while links, agents and routers fail.

mod actual_runs;
mod answer_check;
mod fault_kind;
mod fault_stage;
mod graceful_shutdown;
mod injector;
mod link_fault_table;
mod request_record;
mod run;
mod scenario;
mod tally;
mod workload;

pub use actual_runs::ActualRuns;
pub use answer_check::{check_booking, check_chat};
pub use fault_kind::FaultKind;
pub use fault_stage::FaultRecord;
pub use request_record::{AnswerFlaws, LearnedOutcome, RequestRecord, RequestWork};
pub use run::{run_promises, PromiseOptions};
pub use tally::PromiseTally;
