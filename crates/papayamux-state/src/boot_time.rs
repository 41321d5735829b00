//! Time since the instance started, suspension included.

use std::time::Duration;

/// A point on a clock that never jumps and goes on while the instance is suspended. The steady
/// clock of [`std::time::Instant`] stands still then, so that what is too old would look fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(pub Duration);

impl BootInstant {
    /// Time from `earlier` to this point; zero where `earlier` is the later one.
    pub fn since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The point that lies `span` after this one.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}
