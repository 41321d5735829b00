//! Fencing numbers: which agent's order is the newer one.
//!
//! A number is a term above and a step below. The term is the second in which the agent started,
//! or one more than the term that the engine reports, whichever is higher; the step starts at the
//! revision in force and rises with each order. All numbers stay below 2^53, so that an engine
//! that reads JSON numbers as doubles compares them rightly.

use std::fmt;

use papayamux_state::ids::Incarnation;
use thiserror::Error;

/// Steps in one term.
pub const STEPS_PER_TERM: u64 = 1 << 20;
/// Numbers from here on are no fencing numbers of an agent.
pub const FENCE_CEILING: u64 = 1 << 53;
/// The highest step that a revision alone leads to; the rest of the term is for later orders.
const MAX_REVISION_STEPS: u64 = STEPS_PER_TERM / 2;
/// Bits of an incarnation below its milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 20;
const MILLIS_PER_SECOND: u64 = 1_000;
/// Orders refused as older before the first one is obeyed, after which another agent is taken to
/// be the newer one.
const MAX_RAISES: u32 = 16;

/// A fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceNumber(u64);

impl FenceNumber {
    /// The number as sent to an engine.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The agent's part of the number.
    pub const fn term(self) -> u64 {
        self.0 / STEPS_PER_TERM
    }
}

impl From<u64> for FenceNumber {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for FenceNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term(), self.0 % STEPS_PER_TERM)
    }
}

/// Why there is no next number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FenceError {
    /// The engine reports a number that no agent gives.
    #[error(
        "the engine reports fencing number {0}, above all that agents give; restart the engine"
    )]
    Exhausted(u64),
    /// Another agent keeps ordering.
    #[error(
        "{MAX_RAISES} orders in a row were refused as older: another agent orders this engine"
    )]
    Contended,
}

/// What the number in an engine's state says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceObservation {
    /// The engine has obeyed nobody, and this agent has not ordered yet.
    Unclaimed,
    /// An earlier agent ordered last, and this one has not ordered yet.
    Predecessor,
    /// This agent ordered last.
    Own,
    /// The engine has forgotten this agent's orders.
    Restarted,
    /// An older order was obeyed after this agent's own: the engine ignores fencing numbers.
    LateOrder,
    /// A newer agent orders this engine.
    Successor,
}

impl FenceObservation {
    /// The stable word for metrics.
    pub const fn label(self) -> &'static str {
        match self {
            FenceObservation::Unclaimed => "unclaimed",
            FenceObservation::Predecessor => "predecessor",
            FenceObservation::Own => "own",
            FenceObservation::Restarted => "restarted",
            FenceObservation::LateOrder => "late_order",
            FenceObservation::Successor => "successor",
        }
    }
}

/// The fencing numbers of one life of an agent.
#[derive(Debug, Clone)]
pub struct FenceTracker {
    floor: u64,
    first_issued: Option<u64>,
    last_issued: u64,
    highest_seen: u64,
    established: bool,
    raises: u32,
}

impl FenceTracker {
    /// The numbers of the agent with this incarnation.
    pub fn new(incarnation: Incarnation) -> Self {
        let seconds = (incarnation.get() >> INCARNATION_RANDOM_BITS) / MILLIS_PER_SECOND;
        Self {
            floor: seconds.saturating_mul(STEPS_PER_TERM).min(FENCE_CEILING / 2),
            first_issued: None,
            last_issued: 0,
            highest_seen: 0,
            established: false,
            raises: 0,
        }
    }

    /// Whether the engine has obeyed an order of this agent.
    pub fn is_established(&self) -> bool {
        self.established
    }

    /// Takes the number of the engine's state, read after all earlier orders were answered.
    pub fn observe(&mut self, reported: Option<u64>) -> FenceObservation {
        let Some(number) = reported else {
            return if self.established {
                FenceObservation::Restarted
            } else {
                FenceObservation::Unclaimed
            };
        };
        if self.first_issued.is_some_and(|first| (first..=self.last_issued).contains(&number)) {
            self.established = true;
            return FenceObservation::Own;
        }
        if self.established && number < self.last_issued {
            return FenceObservation::LateOrder;
        }
        if self.established {
            return FenceObservation::Successor;
        }
        self.raise_floor_above(number);
        FenceObservation::Predecessor
    }

    /// An order was obeyed.
    pub fn record_obeyed(&mut self) {
        self.established = true;
        self.raises = 0;
    }

    /// An order was refused because of the higher number `highest`.
    pub fn record_refusal(&mut self, highest: u64) -> FenceObservation {
        if self.established && highest > self.last_issued {
            return FenceObservation::Successor;
        }
        self.raises += 1;
        self.raise_floor_above(highest);
        FenceObservation::Predecessor
    }

    /// The number for the next order at `revision`: above all given and seen before.
    pub fn issue(&mut self, revision: u64) -> Result<FenceNumber, FenceError> {
        if self.raises >= MAX_RAISES {
            return Err(FenceError::Contended);
        }
        let revised = self.floor.saturating_add(revision.min(MAX_REVISION_STEPS));
        let number = revised.max(self.last_issued + 1);
        if number >= FENCE_CEILING {
            return Err(FenceError::Exhausted(self.highest_seen));
        }
        self.first_issued.get_or_insert(number);
        self.last_issued = number;
        Ok(FenceNumber(number))
    }

    /// Moves to a term of its own, which the agent of `number` does not reach by its next orders.
    fn raise_floor_above(&mut self, number: u64) {
        self.highest_seen = self.highest_seen.max(number);
        let above = (number / STEPS_PER_TERM).saturating_add(1).saturating_mul(STEPS_PER_TERM);
        self.floor = self.floor.max(above);
    }
}
