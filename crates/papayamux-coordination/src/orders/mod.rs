//! Orders: how an agent brings its engine to what is declared.

mod compare;
mod fence;
mod load_backoff;
mod load_slots;
mod server_target;
mod stop_book;

pub use compare::{ChangePlan, EngineReading, OrderDraft, OrderReason, StepRights};
pub use fence::{FenceBook, FenceError, FenceNumber, FenceSight, FENCE_CEILING, STEPS_PER_TERM};
pub use load_backoff::LoadBackoff;
pub use load_slots::{LoadRate, LoadRateError, LoadSlots, SLOT_LATENESS};
pub use server_target::{needed_keepers, PeerServer, ServerTarget, TargetError};
pub use stop_book::{ServingEvidence, StopBook};
