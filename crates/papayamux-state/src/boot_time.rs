//! Time since the instance booted, including time in suspension.

use std::time::Duration;

/// A point in time on a monotonic clock that keeps running while the instance is suspended. The clock
/// of [`std::time::Instant`] stops during suspension, so that expired data would look fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(pub Duration);

impl BootInstant {
    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    pub fn since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point in time `span` after this one.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}
