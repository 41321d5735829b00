//! Claims, which grant an idempotency key to at most one attempt.
//!
//! See `docs/design/at-most-once.md`.

mod claim_key;
mod claim_table;
mod fleet_view;
mod view_history;

pub use claim_key::{CallFingerprint, ClaimId, ClaimKey};
pub use claim_table::{ClaimQuery, ClaimRefusal, ClaimTable, HeldClaim, RunLocation};
pub use fleet_view::{DeclaredServer, FleetDigest, FleetView, FleetViewError};
pub use view_history::ViewHistory;
