//! Report of a scenario.

use serde::Serialize;

use super::scenario::ConfigScenario;

/// The figures of a scenario, printed as one JSON line.
#[derive(Debug, Clone, Serialize)]
pub struct ConfigReport {
    /// The scenario.
    pub scenario: ConfigScenario,
    /// The seed.
    pub seed: u64,
    /// The number of processes at the end.
    pub processes: usize,
    /// The number of measured delays: one per change and process.
    pub measured: usize,
    /// The number of delays still missing at the timeout.
    pub missing: usize,
    /// The median delay until a change was in force at a process, in milliseconds.
    pub in_force_ms_p50: f64,
    /// The maximum delay until a change was in force at a process, in milliseconds.
    pub in_force_ms_max: f64,
    /// The number of steps of any process to an older configuration.
    pub stepped_down: usize,
    /// The number of processes whose final state differs from the most common one.
    pub diverged: usize,
    /// The maximum number of calls that the service received in one second.
    pub service_reads_per_s_max: u64,
    /// The number of calls that the service refused because of its rate limit.
    pub service_reads_refused: u64,
    /// The maximum rate at which any process exchanged bytes with peers, in bytes per second.
    pub control_bytes_per_s_max: f64,
    /// The mean rate at which a process exchanged bytes with peers over its whole run, in bytes per
    /// second.
    pub control_bytes_per_s_mean: f64,
    /// The maximum number of bytes that any process read from the service in the whole run.
    pub service_bytes_max: u64,
    /// The maximum resident memory of any process, in bytes.
    pub resident_bytes_max: u64,
    /// The mean share of a core that a process used from its start to the end.
    pub cpu_share_mean: f64,
    /// The maximum share of a core that any process used from its start to the end.
    pub cpu_share_max: f64,
    /// The number of processes watching the service at the end.
    pub watchers: usize,
}
