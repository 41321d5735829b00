//! Calls with an idempotency key: claims at witnesses, and the first run's answer for repeats.

mod claim_hold;
mod claim_settings;
mod fleet_keeper;
mod keyed_call;
mod recall;
mod witness_round;

pub use claim_hold::ClaimHold;
pub use claim_settings::{ClaimSettings, WitnessEntry};
pub use fleet_keeper::FleetKeeper;
pub use keyed_call::{run_keyed, KeyedCall};
