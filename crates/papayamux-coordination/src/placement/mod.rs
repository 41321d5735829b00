//! Placement of requests: the choice of the backend server that gets a request.

mod candidate;
mod load_ledger;
mod placer;
mod policy;
mod recent_holders;

pub(crate) use recent_holders::MIN_ANNOUNCED_TOKENS;

pub use candidate::{Placement, PlacementCandidate, PlacementRequest};
pub use load_ledger::{LoadLedger, RouterId, ServerLoad};
pub use placer::{is_placeable, place, PlacementTuning};
pub use policy::{PlacementPolicy, PolicyError};
pub use recent_holders::{HolderUpdate, RecentHolders};
