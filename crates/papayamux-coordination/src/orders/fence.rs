//! Fencing numbers, which determine the newer one of two agents' orders.
//!
//! The high part of a number is a term, the low part a step. The term is the second in which the agent
//! started, or one more than the term that the engine reports, whichever is higher. The step starts at
//! the revision in force and increases with each order. All numbers stay below 2^53, so that an engine
//! that parses JSON numbers as doubles compares them correctly.

use std::fmt;

use papayamux_state::ids::Incarnation;
use thiserror::Error;

/// Number of steps in one term.
pub const STEPS_PER_TERM: u64 = 1 << 20;
/// Exclusive upper bound of the fencing numbers that agents issue.
pub const FENCE_CEILING: u64 = 1 << 53;
/// Maximum step derived from a revision. The rest of the term is reserved for later orders.
const MAX_REVISION_STEPS: u64 = STEPS_PER_TERM / 2;
/// Number of random bits below the milliseconds of an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 20;
const MILLIS_PER_SECOND: u64 = 1_000;
/// Number of orders refused as older, before the first one is obeyed, after which another agent is
/// considered the newer one.
const MAX_RAISES: u32 = 16;

/// A fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceNumber(u64);

impl FenceNumber {
    /// Returns the number as sent to an engine.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the term, the part that identifies the agent.
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

/// The error of issuing the next number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FenceError {
    /// The engine reports a number that no agent issues.
    #[error(
        "the engine reports fencing number {0}, above all that agents issue; restart the engine"
    )]
    Exhausted(u64),
    /// Another agent keeps sending orders.
    #[error(
        "{MAX_RAISES} orders in a row were refused as older: another agent orders this engine"
    )]
    Contended,
}

/// The meaning of the fencing number in an engine's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceObservation {
    /// The engine has obeyed no order yet.
    Unclaimed,
    /// The last order was from an earlier agent, and the engine hasn't obeyed this one yet.
    Predecessor,
    /// The last order was from this agent.
    Own,
    /// The engine has forgotten this agent's orders.
    Restarted,
    /// The engine obeyed an older order after this agent's own: it ignores fencing numbers.
    LateOrder,
    /// The last order was from a newer agent.
    Successor,
}

impl FenceObservation {
    /// Returns the stable label for metrics.
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

/// Issues the fencing numbers of one incarnation of an agent.
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
    /// Creates the tracker of the agent with this incarnation.
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

    /// Returns whether the engine has obeyed an order of this agent.
    pub fn is_established(&self) -> bool {
        self.established
    }

    /// Evaluates the number in the engine's state, which must be read after all earlier orders were
    /// answered.
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

    /// Records that an order was obeyed.
    pub fn record_obeyed(&mut self) {
        self.established = true;
        self.raises = 0;
    }

    /// Records that an order was refused in favour of the higher number `highest`.
    pub fn record_refusal(&mut self, highest: u64) -> FenceObservation {
        if self.established && highest > self.last_issued {
            return FenceObservation::Successor;
        }
        self.raises += 1;
        self.raise_floor_above(highest);
        FenceObservation::Predecessor
    }

    /// Issues the number of the next order at `revision`, above all issued and observed so far.
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

    /// Moves to the term after that of `number`, which its agent's next orders don't reach.
    fn raise_floor_above(&mut self, number: u64) {
        self.highest_seen = self.highest_seen.max(number);
        let above = (number / STEPS_PER_TERM).saturating_add(1).saturating_mul(STEPS_PER_TERM);
        self.floor = self.floor.max(above);
    }
}
