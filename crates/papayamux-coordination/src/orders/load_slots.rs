//! When an agent may have its engine load weights, so that the fleet stays within the weight
//! store's rate although nobody coordinates it.
//!
//! Time is cut into slots, and a frame of slots has one slot for each declared engine. The order
//! of the engines within a frame follows from a hash of their names, so that neighbours in a rack
//! are not neighbours in time. Each agent computes its own place from the declared fleet alone.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use papayamux_state::ids::ServerId;
use papayamux_state::placement::name_hash;
use thiserror::Error;

/// How late after its slot's start an order may still be sent.
pub const MAX_SLOT_LATENESS: Duration = Duration::from_millis(100);
/// The part of the store's rate that slots use, in percent. The rest covers errors of clocks and
/// delays on the way: at 80 % two loads that a full store would part by one second are parted by
/// 1.25 s, so that errors below 250 ms do not add up to a refusal.
const USED_PERCENT: u64 = 80;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
/// Loads a second in the highest rate.
const MAX_RATE: u64 = 1_000_000;

/// Loads a second that the weight store answers, to all its readers together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadRate(u64);

/// Why a text is not a load rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a load rate is a whole number of loads a second from 1 to {MAX_RATE}")]
pub struct LoadRateError;

impl LoadRate {
    /// Loads a second.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Time from one slot to the next.
    pub fn slot_length(self) -> Duration {
        Duration::from_nanos(NANOS_PER_SECOND * 100 / (self.0 * USED_PERCENT))
    }
}

impl TryFrom<u64> for LoadRate {
    type Error = LoadRateError;

    fn try_from(rate: u64) -> Result<Self, LoadRateError> {
        (1..=MAX_RATE).contains(&rate).then_some(Self(rate)).ok_or(LoadRateError)
    }
}

impl FromStr for LoadRate {
    type Err = LoadRateError;

    fn from_str(text: &str) -> Result<Self, LoadRateError> {
        text.parse::<u64>().map_err(|_| LoadRateError)?.try_into()
    }
}

impl fmt::Display for LoadRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The slots of one engine on the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSlots {
    slot: Duration,
    rank: u64,
    fleet: u64,
}

impl LoadSlots {
    /// The slots of `server` among the declared engines `fleet`; one that is not declared takes
    /// the place after the last.
    pub fn new(server: &ServerId, fleet: &BTreeSet<ServerId>, rate: LoadRate) -> Self {
        let sort_key = |name: &ServerId| (name_hash(name.as_str()), name.clone());
        let own = sort_key(server);
        let rank = fleet.iter().filter(|other| sort_key(other) < own).count() as u64;
        let length = fleet.len() as u64;
        match fleet.contains(server) {
            true => Self { slot: rate.slot_length(), rank, fleet: length },
            false => Self { slot: rate.slot_length(), rank: length, fleet: length + 1 },
        }
    }

    /// Time from one of the engine's slots to its next.
    pub fn frame(&self) -> Duration {
        nanos(self.slot.as_nanos() as u64, self.fleet)
    }

    /// Which of the engine's slots `now` lies in, if its start is no longer ago than
    /// [`SLOT_LATENESS`]; `now` is time since the epoch.
    pub fn open_slot(&self, now: Duration) -> Option<u64> {
        let frame = self.frame().as_nanos().max(1);
        let offset = (self.slot.as_nanos()) * u128::from(self.rank);
        let elapsed = now.as_nanos().checked_sub(offset)?;
        let lateness = elapsed % frame;
        (lateness <= MAX_SLOT_LATENESS.as_nanos()).then_some((elapsed / frame) as u64)
    }

    /// Time from `now` to the start of the engine's next slot, never zero.
    pub fn until_next(&self, now: Duration) -> Duration {
        let frame = self.frame().as_nanos().max(1);
        let offset = (self.slot.as_nanos()) * u128::from(self.rank) % frame;
        let phase = now.as_nanos() % frame;
        let wait = (frame + offset - phase) % frame;
        Duration::from_nanos(if wait == 0 { frame as u64 } else { wait as u64 })
    }
}

fn nanos(length: u64, count: u64) -> Duration {
    Duration::from_nanos(length.saturating_mul(count))
}
