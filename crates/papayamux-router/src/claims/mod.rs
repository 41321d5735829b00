//! Handles calls with an idempotency key: claims the key at witnesses, and returns the answer of
//! the first run to retries.

mod claim_attempt;
mod claim_settings;
mod fleet_tracker;
mod keyed_call;
mod recall;
mod witness_round;

pub use claim_attempt::ClaimAttempt;
pub use claim_settings::{ClaimSettings, WitnessEntry};
pub use fleet_tracker::FleetTracker;
pub use keyed_call::{run_keyed, KeyedCall};
