//! Time slots in which an agent may have its engine load weights. They keep the fleet within the weight
//! store's rate without coordination.
//!
//! Time is divided into slots, and a frame of slots has one slot per declared engine. Engines are ordered
//! within a frame by a hash of their names, so that engines with consecutive names, such as those of one
//! rack, don't load in consecutive slots. Each agent computes its own slot from the declared fleet alone.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use papayamux_state::ids::ServerId;
use papayamux_state::placement::name_hash;
use thiserror::Error;

/// Maximum delay after a slot's start at which an order may still be sent.
pub const MAX_SLOT_LATENESS: Duration = Duration::from_millis(100);
/// Percentage of the store's rate that slots use. The rest covers clock errors and network delays. At
/// 80 %, two loads that would be one second apart at the full rate are 1.25 s apart, so that errors below
/// 250 ms don't cause a refusal.
const USED_PERCENT: u64 = 80;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
/// Maximum rate, in loads per second.
const MAX_RATE: u64 = 1_000_000;

/// Rate of the weight store for all its readers together, in loads per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadRate(u64);

/// The error of parsing a [`LoadRate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a load rate is a whole number of loads a second from 1 to {MAX_RATE}")]
pub struct LoadRateError;

impl LoadRate {
    /// Returns the rate in loads per second.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time from the start of one slot to that of the next.
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

/// The slots of one engine, in wall-clock time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSlots {
    slot: Duration,
    rank: u64,
    fleet: u64,
}

impl LoadSlots {
    /// Creates the slots of `server` among the declared engines `fleet`. An undeclared engine gets an
    /// additional slot after the last one.
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

    /// Returns the time from one of the engine's slots to the next.
    pub fn frame(&self) -> Duration {
        nanos(self.slot.as_nanos() as u64, self.fleet)
    }

    /// Returns the number of the engine's slot that started at most [`MAX_SLOT_LATENESS`] before `now`,
    /// or `None`. `now` is the time since the Unix epoch.
    pub fn open_slot(&self, now: Duration) -> Option<u64> {
        let frame = self.frame().as_nanos().max(1);
        let offset = (self.slot.as_nanos()) * u128::from(self.rank);
        let elapsed = now.as_nanos().checked_sub(offset)?;
        let lateness = elapsed % frame;
        (lateness <= MAX_SLOT_LATENESS.as_nanos()).then_some((elapsed / frame) as u64)
    }

    /// Returns the time from `now` to the start of the engine's next slot, never zero.
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
