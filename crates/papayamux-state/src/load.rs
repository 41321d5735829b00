//! The load of servers: their reports, group means, and the load bound.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use crate::quantities::RequestCount;

/// The load of a server. The agent counts the requests itself, because the engine's own report
/// lags behind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that were admitted and have not finished.
    pub running: RequestCount,
    /// Requests that are queued at the agent for a slot.
    pub waiting: RequestCount,
    /// Maximum number of concurrent requests that the agent currently admits; 0 if it admits none.
    pub limit: RequestCount,
    /// The time that the engine needs for the prompts that it was already given.
    pub backlog: Duration,
}

impl LoadReport {
    /// Returns whether one more request would be admitted without queueing.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.limit && self.waiting == RequestCount::default()
    }
}

/// Identifies a group of servers that share a load bound: those of one model or of one path prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);

impl GroupId {
    /// Returns the group of a model or path prefix with this name.
    pub fn named(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// The mean load over the servers of a group, from the reports that one router received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupLoad {
    /// The group.
    pub group: GroupId,
    /// The weighted mean of requests that were admitted and have not finished.
    pub mean: f64,
    /// The sum of the weights of the reports in the mean; a report's weight decays with its age.
    pub samples: f64,
    /// The number of servers declared in the group.
    pub servers: u32,
}

/// The multiple of the mean load that a server may reach. It is always above 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadFactor {
    thousandths: u32,
}

/// The error of parsing a [`LoadFactor`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a load factor is a number above 1 and at most {MAX_LOAD_FACTOR}")]
pub struct LoadFactorError;

/// The share of the load factor that [`LoadFactor::limit`] uses for admission.
pub const ADMISSION_MARGIN: f64 = 0.75;
const MAX_LOAD_FACTOR: u32 = 100;

impl LoadFactor {
    /// The factor that applies if none is configured.
    pub const DEFAULT: LoadFactor = LoadFactor { thousandths: 2_000 };

    /// Returns the factor as a number.
    pub fn get(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }

    /// Returns the maximum number of requests that a server may run in a group of `servers` servers
    /// with the mean load `mean`. The request to be admitted counts towards the limit.
    ///
    /// Only the share [`ADMISSION_MARGIN`] of the multiple is used, because the mean may fall while
    /// requests admitted under it still run. The result is rounded down, so that the bound holds
    /// exactly. The limit is never below the mean rounded up: otherwise there could be requests that
    /// no server may admit.
    pub fn limit(self, mean: f64, servers: u32) -> RequestCount {
        let share = mean.max(0.0) + 1.0 / f64::from(servers.max(1));
        let multiple = (self.get() * ADMISSION_MARGIN * share).floor();
        RequestCount::new(multiple.max(share.ceil()) as u64)
    }
}

impl fmt::Display for LoadFactor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.get())
    }
}

impl FromStr for LoadFactor {
    type Err = LoadFactorError;

    fn from_str(text: &str) -> Result<Self, LoadFactorError> {
        let factor: f64 = text.parse().map_err(|_| LoadFactorError)?;
        let fits = factor > 1.0 && factor <= f64::from(MAX_LOAD_FACTOR);
        let thousandths = (factor * 1_000.0).round() as u32;
        fits.then_some(Self { thousandths }).ok_or(LoadFactorError)
    }
}
