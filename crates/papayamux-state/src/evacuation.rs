//! Evacuation orders, which stop requests to the backend servers of a failure domain.

use crate::ids::FailureDomain;
use crate::source::SourcePosition;

/// An operator's order to send no more requests to the servers of a failure domain. It stays in force
/// until it is withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvacuationOrder {
    /// The failure domain to be evacuated.
    pub domain: FailureDomain,
    /// The position of the source at which the order was written.
    pub position: SourcePosition,
}
