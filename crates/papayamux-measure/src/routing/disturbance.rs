//! Applies a scenario's faults to the processes during a run, on a separate thread.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use papayamux_testbed::{Fleet, TestbedError};

use super::scenario::Scenario;

/// Start and end of the replacements or pauses, as shares of the run.
const FAULT_SHARES: (f64, f64) = (0.3, 0.85);
const FLAP_PAUSE: Duration = Duration::from_millis(800);
const FLAP_PERIOD: Duration = Duration::from_millis(2_000);
const FLAPPING_ENGINE: usize = 0;

/// The faults of one run: their scenario and timing, and the mask that reports replaced engines
/// to the prefix oracle.
#[derive(Debug, Clone, Copy)]
pub struct DisturbancePlan<'a> {
    /// The scenario that determines the faults.
    pub scenario: Scenario,
    /// The number of engines at the site.
    pub engines: usize,
    /// The start of the run.
    pub started_at: Instant,
    /// The duration of the run.
    pub length: Duration,
    /// Bit mask of the engines replaced and not yet processed by the prefix oracle.
    pub replaced: &'a AtomicU64,
}

impl DisturbancePlan<'_> {
    /// Applies all faults of the scenario to `fleet` and blocks until the last one.
    pub fn apply_faults(&self, fleet: &mut Fleet) -> Result<(), TestbedError> {
        match self.scenario {
            Scenario::Churn10 | Scenario::Churn30 => self.replace_engines(fleet),
            Scenario::Flap => self.flap(fleet),
            _ => Ok(()),
        }
    }

    fn wait_until(&self, share: f64) {
        let at = self.length.mul_f64(share);
        std::thread::sleep(at.saturating_sub(self.started_at.elapsed()));
    }

    fn replace_engines(&self, fleet: &mut Fleet) -> Result<(), TestbedError> {
        let count = self.scenario.replaced(self.engines);
        let (from, until) = FAULT_SHARES;
        for index in 0..count {
            self.wait_until(from + (until - from) * index as f64 / count as f64);
            let engine = index * self.engines / count;
            fleet.replace_server(engine)?;
            self.replaced.fetch_or(1 << engine, Ordering::AcqRel);
        }
        Ok(())
    }

    fn flap(&self, fleet: &mut Fleet) -> Result<(), TestbedError> {
        self.wait_until(FAULT_SHARES.0);
        while self.started_at.elapsed() < self.length.mul_f64(FAULT_SHARES.1) {
            let agent = &fleet.servers[FLAPPING_ENGINE].agent;
            agent.pause()?;
            std::thread::sleep(FLAP_PAUSE);
            agent.wake()?;
            std::thread::sleep(FLAP_PERIOD - FLAP_PAUSE);
        }
        Ok(())
    }
}
