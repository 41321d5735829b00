//! Which backend server gets a request.

mod candidate;
mod load_ledger;
mod placer;

pub use candidate::{Placement, PlacementCandidate, PlacementRequest};
pub use load_ledger::{LoadLedger, RouterId, ServerLoad};
pub use placer::{place, PlacementTuning};
