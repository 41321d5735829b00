//! The router's claims of idempotency keys: which witnesses to query, and when an attempt may run.

mod claim_round;
mod fleet_window;

pub use claim_round::{ClaimRound, ClaimVerdict};
pub use fleet_window::FleetWindow;
