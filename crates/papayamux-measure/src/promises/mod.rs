//! Checks that the guarantees to callers hold while links, agents and routers fail.

mod answer_check;
mod fault_kind;
mod fault_stage;
mod injector;
mod link_board;
mod request_record;
mod run;
mod scenario;
mod server_leave;
mod tally;
mod truth;
mod workload;

pub use answer_check::{check_booking, check_chat};
pub use fault_kind::FaultKind;
pub use fault_stage::FaultRecord;
pub use request_record::{AnswerFlaws, LearnedOutcome, RequestRecord, RequestWork};
pub use run::{run_promises, PromiseOptions};
pub use tally::PromiseTally;
pub use truth::RunTruth;
