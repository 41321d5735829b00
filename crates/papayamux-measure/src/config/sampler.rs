//! Samples all processes while a scenario runs.

use std::collections::HashMap;
use std::error::Error;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use papayamux_testbed::{ProcessHandle, SpreadFleet, SpreadStatus};

use super::report::ConfigReport;
use super::scenario::ConfigScenario;

/// Interval between queries of the processes' byte counts.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks of the processes' logs.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The message that a process logs when a configuration has come into force.
const IN_FORCE_MESSAGE: &str = "configuration in force";

/// Returns the current time in milliseconds since the Unix epoch, as in logs.
pub(super) fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Returns the time at which the process first had at least `revision` in force and was settled,
/// in milliseconds since the Unix epoch.
pub(super) fn in_force_at(process: &ProcessHandle, revision: u64) -> Option<u64> {
    let lines = process.lines_with(IN_FORCE_MESSAGE);
    let line = lines.iter().find(|line| {
        line["settled"].as_bool() == Some(true)
            && line["revision"].as_u64().is_some_and(|held| held >= revision)
    })?;
    line["time_ms"].as_u64()
}

fn count_steps_down(process: &ProcessHandle) -> usize {
    let lines = process.lines_with(IN_FORCE_MESSAGE);
    let generations: Vec<u64> = lines
        .iter()
        .filter_map(|line| {
            line["generation"].as_u64().or(line["generation"].as_str()?.parse().ok())
        })
        .collect();
    generations.windows(2).filter(|pair| pair[1] < pair[0]).count()
}

/// The measurements of a scenario so far.
#[derive(Default)]
pub(super) struct ConfigSampler {
    times_ms: Vec<f64>,
    missing: usize,
    bytes: HashMap<u32, (Instant, u64)>,
    bytes_per_s_max: f64,
    last_sample: Option<Instant>,
    stepped_down: usize,
}

impl ConfigSampler {
    /// Waits until `revision` is in force at each process, and records each process's delay after
    /// `since_ms`. Processes that exceed `timeout` are counted as missing.
    pub(super) async fn record_in_force(
        &mut self,
        fleet: &SpreadFleet,
        revision: u64,
        since_ms: u64,
        timeout: Duration,
    ) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + timeout;
        loop {
            self.sample(fleet).await?;
            let times: Vec<_> = fleet
                .processes
                .iter()
                .filter_map(|process| in_force_at(&process.handle, revision))
                .collect();
            let missing = fleet.processes.len() - times.len();
            if missing == 0 || Instant::now() > deadline {
                let taken = times.iter().map(|time| time.saturating_sub(since_ms) as f64);
                self.times_ms.extend(taken);
                self.missing += missing;
                return Ok(());
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Samples the processes for the duration `time`.
    pub(super) async fn sample_for(
        &mut self,
        fleet: &SpreadFleet,
        time: Duration,
    ) -> Result<(), Box<dyn Error>> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.sample(fleet).await?;
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Records a delay measured by the caller; `None` counts as missing.
    pub(super) fn record_delay(&mut self, millis: Option<f64>) {
        match millis {
            Some(millis) => self.times_ms.push(millis),
            None => self.missing += 1,
        }
    }

    /// Counts the steps to an older configuration in the logs of processes that are about to end.
    pub(super) fn record_steps_down(&mut self, fleet: &SpreadFleet) {
        let steps = fleet.processes.iter().map(|process| count_steps_down(&process.handle));
        self.stepped_down += steps.sum::<usize>();
    }

    async fn sample(&mut self, fleet: &SpreadFleet) -> Result<(), Box<dyn Error>> {
        if self.last_sample.is_some_and(|last| last.elapsed() < SAMPLE_INTERVAL) {
            return Ok(());
        }
        self.last_sample = Some(Instant::now());
        for (index, process) in fleet.processes.iter().enumerate() {
            let status = fleet.status(index).await?;
            self.record_bytes(process.handle.id(), status.sent_bytes + status.received_bytes);
        }
        Ok(())
    }

    fn record_bytes(&mut self, process: u32, bytes: u64) {
        let now = Instant::now();
        if let Some((last, before)) = self.bytes.insert(process, (now, bytes)) {
            let rate = bytes.saturating_sub(before) as f64 / (now - last).as_secs_f64();
            self.bytes_per_s_max = self.bytes_per_s_max.max(rate);
        }
    }

    /// Returns the report of the scenario.
    pub(super) async fn finish(
        mut self,
        scenario: ConfigScenario,
        seed: u64,
        fleets: &[&SpreadFleet],
    ) -> Result<ConfigReport, Box<dyn Error>> {
        let mut statuses = Vec::new();
        let mut usages = Vec::new();
        let (mut reads, mut refused) = (0, 0);
        for fleet in fleets {
            self.record_steps_down(fleet);
            statuses.extend(fleet.statuses().await?);
            let counters = fleet.counters().await?;
            reads += counters.highest_per_second;
            refused += counters.refused;
            for process in &fleet.processes {
                let age = process.handle.age().as_secs_f64();
                usages.push((age, process.handle.usage()?));
            }
        }
        self.times_ms.sort_by(f64::total_cmp);
        let count = usages.len().max(1) as f64;
        let shares: Vec<_> =
            usages.iter().map(|(age, usage)| usage.cpu.as_secs_f64() / age).collect();
        let rates: Vec<_> = statuses
            .iter()
            .zip(&usages)
            .map(|(status, (age, _))| (status.sent_bytes + status.received_bytes) as f64 / age)
            .collect();
        let residents = usages.iter().map(|(_, usage)| usage.resident.get());
        Ok(ConfigReport {
            scenario,
            seed,
            processes: statuses.len(),
            measured: self.times_ms.len(),
            missing: self.missing,
            in_force_ms_p50: self.times_ms.get(self.times_ms.len() / 2).copied().unwrap_or(-1.0),
            in_force_ms_max: self.times_ms.last().copied().unwrap_or(-1.0),
            stepped_down: self.stepped_down,
            diverged: diverged(&statuses),
            service_reads_per_s_max: reads,
            service_reads_refused: refused,
            control_bytes_per_s_max: self.bytes_per_s_max.round(),
            control_bytes_per_s_mean: (rates.iter().sum::<f64>() / count).round(),
            service_bytes_max: statuses
                .iter()
                .map(|status| status.service_bytes)
                .max()
                .unwrap_or(0),
            resident_bytes_max: residents.max().unwrap_or(0),
            cpu_share_mean: shares.iter().sum::<f64>() / count,
            cpu_share_max: shares.iter().copied().fold(0.0, f64::max),
            watchers: statuses.iter().filter(|status| status.watching).count(),
        })
    }
}

fn diverged(statuses: &[SpreadStatus]) -> usize {
    let mut counts: HashMap<(&str, &str), usize> = HashMap::new();
    for status in statuses {
        *counts.entry((&status.digest, &status.in_force.digest)).or_default() += 1;
    }
    statuses.len() - counts.values().max().copied().unwrap_or(0)
}
