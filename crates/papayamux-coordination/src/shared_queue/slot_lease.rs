//! The time for which a router holds what it was granted.

use std::time::Duration;

/// Time after a router's last report at which its slots are free again: long enough for a pause of
/// a busy router, and no longer than the service can do without the slots of a lost one.
pub(super) const SLOT_LEASE: Duration = Duration::from_secs(1);
