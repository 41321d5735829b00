//! Whether the promises to callers hold while links, agents and routers fail.

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

pub use run::{run_promises, PromiseOptions};
