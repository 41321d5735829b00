//! Options and runtime faults of the configuration service.

use serde::{Deserialize, Serialize};

/// Default rate limit in reads per second.
const READS_PER_SECOND: usize = 2_000;

/// Options of a configuration service stand-in.
#[derive(Debug, Clone, Copy)]
pub struct ConfigServiceOptions {
    /// Maximum number of reads answered within any one second.
    pub reads_per_second: usize,
}

impl Default for ConfigServiceOptions {
    fn default() -> Self {
        Self { reads_per_second: READS_PER_SECOND }
    }
}

/// The state of the files that is served to readers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServedView {
    /// The newest state.
    #[default]
    Live,
    /// The state at the time the fault is set; later changes are not served.
    Frozen,
    /// The state at the given revision.
    At(u64),
}

/// Faults that the service shows to readers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigFaults {
    /// State of the files that is served.
    pub view: ServedView,
    /// Makes each read fail with status 503.
    pub unavailable: bool,
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
}
