//! The short-lived permit to send one order, checked immediately before the order is sent.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use papayamux_coordination::orders::LoadSlots;

/// The duration, from the request for the engine's state, for which orders may be based on that
/// state.
pub const PERMIT_TTL: Duration = Duration::from_millis(500);

/// The slot of the weight store that an order uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUse {
    /// The slots of the engine.
    pub slots: LoadSlots,
    /// The number of the slot.
    pub number: u64,
}

/// The permit to send one order. Only reading the engine's state again gives a new permit. The
/// deadline is a time of the monotonic clock, so that an agent that was paused reads the state
/// again before it sends an order.
#[derive(Debug)]
pub struct OrderPermit {
    deadline: Instant,
    slot: Option<SlotUse>,
}

/// The reason why a permit is no longer valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitError {
    /// The engine's state was read too long ago, or the evidence for the order has expired.
    Expired,
    /// The slot of the weight store is no longer open.
    SlotPassed,
}

impl PermitError {
    /// Returns the stable label for metrics.
    pub const fn label(self) -> &'static str {
        match self {
            PermitError::Expired => "permit_expired",
            PermitError::SlotPassed => "slot_passed",
        }
    }
}

/// Returns the time since the Unix epoch on the wall clock.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl OrderPermit {
    /// Creates the permit based on an engine state that was requested at `requested_at`. `slot` is
    /// the slot that the order uses if it begins a load.
    pub fn new(requested_at: Instant, slot: Option<SlotUse>) -> Self {
        Self { deadline: requested_at + PERMIT_TTL, slot }
    }

    /// Limits the permit to `deadline`, if that is earlier.
    pub fn limit_to(&mut self, deadline: Instant) {
        self.deadline = self.deadline.min(deadline);
    }

    /// Returns an error if the order may no longer be sent.
    pub fn check(&self) -> Result<(), PermitError> {
        if Instant::now() >= self.deadline {
            return Err(PermitError::Expired);
        }
        match self.slot {
            Some(used) if used.slots.open_slot(wall_clock()) != Some(used.number) => {
                Err(PermitError::SlotPassed)
            }
            _ => Ok(()),
        }
    }
}
