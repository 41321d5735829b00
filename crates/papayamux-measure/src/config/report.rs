//! What a scenario gave.

use serde::Serialize;

use super::scenario::ConfigScenario;

/// One line of JSON.
#[derive(Debug, Clone, Serialize)]
pub struct ConfigReport {
    /// The scenario.
    pub scenario: ConfigScenario,
    /// The seed.
    pub seed: u64,
    /// Processes at the end.
    pub processes: usize,
    /// Times that were measured: changes times processes.
    pub measured: usize,
    /// Times that were still missing at the bound.
    pub missing: usize,
    /// Milliseconds until a change was in force at a process: the median.
    pub in_force_ms_p50: f64,
    /// The same: the longest.
    pub in_force_ms_max: f64,
    /// Steps of any process to an older configuration.
    pub stepped_down: usize,
    /// Processes that in the end held something else than the most common.
    pub diverged: usize,
    /// The most calls that the service got in any one second.
    pub service_reads_per_s_max: u64,
    /// Calls that the service refused because of its rate.
    pub service_reads_refused: u64,
    /// The most bytes exchanged with peers by any process in any one second.
    pub control_bytes_per_s_max: f64,
    /// Bytes exchanged with peers a second by a process, over the whole run: the mean of all.
    pub control_bytes_per_s_mean: f64,
    /// The most bytes read from the service by any process in the whole run.
    pub service_bytes_max: u64,
    /// Resident memory of the largest process, in bytes.
    pub resident_bytes_max: u64,
    /// Share of a core used by a process from its start to the end: the mean of all.
    pub cpu_share_mean: f64,
    /// The same: the highest.
    pub cpu_share_max: f64,
    /// Watchers of the service at the end.
    pub watchers: usize,
}
