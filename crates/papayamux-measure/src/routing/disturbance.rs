//! What a scenario does to the processes during a run, on a thread of its own.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use papayamux_testbed::{Fleet, TestbedError};

use super::scenario::Scenario;

/// When replacements begin and end, as shares of the run.
const CHURN_SHARES: (f64, f64) = (0.3, 0.85);
const FLAP_PAUSE: Duration = Duration::from_millis(800);
const FLAP_PERIOD: Duration = Duration::from_millis(2_000);
const FLAPPING_ENGINE: usize = 0;

/// A run's time and what it tells the best placement.
#[derive(Debug, Clone, Copy)]
pub struct DisturbancePlan<'a> {
    /// The scenario.
    pub scenario: Scenario,
    /// Engines of the site.
    pub engines: usize,
    /// When the run began.
    pub begun: Instant,
    /// How long it goes on.
    pub length: Duration,
    /// Engines that have been replaced, as a bit mask.
    pub replaced: &'a AtomicU64,
}

impl DisturbancePlan<'_> {
    /// Disturbs the fleet until the scenario has nothing left to do.
    pub fn carry_out(&self, fleet: &mut Fleet) -> Result<(), TestbedError> {
        match self.scenario {
            Scenario::Churn10 | Scenario::Churn30 => self.replace_engines(fleet),
            Scenario::Flap => self.flap(fleet),
            _ => Ok(()),
        }
    }

    fn wait_until(&self, share: f64) {
        let at = self.length.mul_f64(share);
        std::thread::sleep(at.saturating_sub(self.begun.elapsed()));
    }

    fn replace_engines(&self, fleet: &mut Fleet) -> Result<(), TestbedError> {
        let count = self.scenario.replaced(self.engines);
        let (from, until) = CHURN_SHARES;
        for index in 0..count {
            self.wait_until(from + (until - from) * index as f64 / count as f64);
            let engine = index * self.engines / count;
            fleet.replace_server(engine)?;
            self.replaced.fetch_or(1 << engine, Ordering::AcqRel);
        }
        Ok(())
    }

    fn flap(&self, fleet: &mut Fleet) -> Result<(), TestbedError> {
        self.wait_until(CHURN_SHARES.0);
        while self.begun.elapsed() < self.length.mul_f64(CHURN_SHARES.1) {
            let agent = &fleet.servers[FLAPPING_ENGINE].agent;
            agent.pause()?;
            std::thread::sleep(FLAP_PAUSE);
            agent.wake()?;
            std::thread::sleep(FLAP_PERIOD - FLAP_PAUSE);
        }
        Ok(())
    }
}
