//! Randomized soak test: runs real routers under injected faults and checks their guarantees.

mod checks;
mod fatal_requests;
mod fault_kind;
mod fleet;
mod history;
mod injector;
mod options;
mod run;
mod scarce_checks;
mod scarce_history;
mod scarce_service;
mod servers;
mod workload;

pub use checks::{check_history, Promise, Violation};
pub use fault_kind::{
    add_outages, add_restores, add_rollouts, draw_faults, draw_with_entries, FaultKind,
    PlannedFault,
};
pub use history::{
    CallKind, CallRecord, CallResult, ConfigurationRecord, DisturbanceRecord, ListingRecord,
    RunRecord, SoakHistory, StreamRecord, Subject,
};
pub use options::{FatalKind, SoakOptions};
pub use run::run_soak;
pub use scarce_history::{Competitor, ScarceCall, ScarceHistory};
