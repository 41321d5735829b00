//! The permission to send one order: short, and checked right before the order is sent.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use papayamux_coordination::orders::LoadSlots;

/// How long after the engine's state was asked for an order may follow from it.
pub const PERMIT_TTL: Duration = Duration::from_millis(500);

/// A slot of the weight store that an order uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUse {
    /// The engine's slots.
    pub slots: LoadSlots,
    /// The slot.
    pub number: u64,
}

/// The permission to send one order. It is renewed by reading the engine's state, and its
/// deadline lies on the monotonic clock, so that an agent that was paused reads everything again.
#[derive(Debug)]
pub struct OrderPermit {
    deadline: Instant,
    slot: Option<SlotUse>,
}

/// Why an order may not be sent any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitError {
    /// The engine's state was read too long ago.
    Expired,
    /// The slot of the weight store has passed.
    SlotPassed,
}

impl PermitError {
    /// The stable word for metrics.
    pub const fn label(self) -> &'static str {
        match self {
            PermitError::Expired => "permit_expired",
            PermitError::SlotPassed => "slot_passed",
        }
    }
}

/// Time since the epoch on the wall clock.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl OrderPermit {
    /// The permission that follows from a state that was asked for at `asked`, for an order that
    /// uses `slot`, if it begins a load.
    pub fn new(asked: Instant, slot: Option<SlotUse>) -> Self {
        Self { deadline: asked + PERMIT_TTL, slot }
    }

    /// Ends earlier, at `until`.
    pub fn limit_to(&mut self, deadline: Instant) {
        self.deadline = self.deadline.min(deadline);
    }

    /// Whether an order may be sent now.
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
