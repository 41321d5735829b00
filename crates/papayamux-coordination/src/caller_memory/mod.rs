//! Decides which callers may make a process hold memory, and who gives it up when it is short.
//!
//! Everything that a caller makes the process hold counts: its connection, a head, a body with the copies that are
//! kept for retries, and the part of an answer that it has not read. The sum over all callers has one limit.

mod holder;
mod memory_ledger;
mod memory_limits;

pub use holder::{HolderId, HolderStage};
pub use memory_ledger::{MemoryLedger, MemoryShortage};
pub use memory_limits::{MemoryLimits, CONNECTION_BYTES, SMALL_HOLDER_BYTES};
