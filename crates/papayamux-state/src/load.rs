//! What servers carry, as they report it and as routers sum it up.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use crate::quantities::RequestCount;

/// What a server carries, counted by its agent and not by the engine's late report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests admitted and not finished.
    pub running: RequestCount,
    /// Requests that wait at the agent for a place.
    pub waiting: RequestCount,
    /// Requests that the agent would let run at once now; 0 where it takes none.
    pub limit: RequestCount,
    /// How long the engine needs for the prompts that it was given before.
    pub backlog: Duration,
}

impl LoadReport {
    /// Whether one more request would find a place at once.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.limit && self.waiting == RequestCount::default()
    }
}

/// Servers that share a load bound: those of one model, or of one path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);

impl GroupId {
    /// The group of a model or of a path prefix.
    pub fn named(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// The mean load over the servers of a group, as one router has sampled it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupLoad {
    /// The group.
    pub group: GroupId,
    /// The mean of requests admitted and not finished.
    pub mean: f64,
    /// Fresh reports that the mean is made of, each counted less the older it is.
    pub samples: f64,
    /// Servers declared in the group.
    pub servers: u32,
}

/// How far a server's load may lie above the mean: the set multiple, above 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadFactor {
    thousandths: u32,
}

/// The text is no load factor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a load factor is a number above 1 and at most {MAX_LOAD_FACTOR}")]
pub struct LoadFactorError;

/// The part of the load factor up to which requests are admitted.
pub const ADMISSION_MARGIN: f64 = 0.75;
const MAX_LOAD_FACTOR: u32 = 100;

impl LoadFactor {
    /// The factor that is used where none is set.
    pub const DEFAULT: LoadFactor = LoadFactor { thousandths: 2_000 };

    /// The bare number.
    pub fn get(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }

    /// The most requests of a server in a group whose mean is `mean` over `servers`, counting the
    /// request that asks for a place.
    ///
    /// Only [`ADMISSION_MARGIN`] of the multiple is given out, because the mean may fall while the
    /// requests that were admitted by it still run. The rest is rounded down, so that the bound
    /// holds to the request. Where that leaves less than the mean itself, rounded up, the latter
    /// counts: else there could be requests that no server may take.
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
