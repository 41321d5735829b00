//! How the configuration service behaves, at its start and while a test runs.

use serde::{Deserialize, Serialize};

/// Reads a second that the service answers where nothing else is said.
const READS_PER_SECOND: usize = 2_000;

/// Options of a configuration service.
#[derive(Debug, Clone, Copy)]
pub struct ConfigServiceOptions {
    /// Reads that are answered in any one second.
    pub reads_per_second: usize,
}

impl Default for ConfigServiceOptions {
    fn default() -> Self {
        Self { reads_per_second: READS_PER_SECOND }
    }
}

/// Which state of the files readers see.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServedView {
    /// The newest.
    #[default]
    Live,
    /// The newest of now, whatever is put from now on.
    Frozen,
    /// That of an older revision.
    At(u64),
}

/// What is wrong with the service for its readers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigFaults {
    /// Which state readers see.
    pub view: ServedView,
    /// Whether each read fails with status 503.
    pub unavailable: bool,
    /// Milliseconds by which each answer is late.
    pub delay_ms: u64,
}
