//! Orders by which an agent brings its engine to the declared state.

mod compare;
mod fence;
mod load_backoff;
mod load_slots;
mod server_target;
mod stop_tracker;

pub use compare::{ChangePlan, EngineSnapshot, OrderDraft, OrderReason, StepRights};
pub use fence::{
    FenceError, FenceNumber, FenceObservation, FenceTracker, FENCE_CEILING, STEPS_PER_TERM,
};
pub use load_backoff::LoadBackoff;
pub use load_slots::{LoadRate, LoadRateError, LoadSlots, MAX_SLOT_LATENESS};
pub use server_target::{required_servers, PeerServer, ServerTarget, TargetError};
pub use stop_tracker::{ServingEvidence, StopTracker};
