//! Implements the scenarios.

use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use papayamux_standins::config_service::{ConfigFaults, ServedView};
use papayamux_testbed::{SpreadFleet, SpreadPlan};
use papayamux_transport::runtime;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::options::ConfigOptions;
use super::report::ConfigReport;
use super::sampler::{in_force_at, now_ms, ConfigSampler};
use super::scenario::ConfigScenario;

type ScenarioResult = Result<ConfigReport, Box<dyn Error>>;

/// Processes per seed: each process gets one seed for this many processes in the fleet, but at
/// least `MIN_SEEDS`.
const PROCESSES_PER_SEED: usize = 16;
const MIN_SEEDS: usize = 3;
/// The number of teams, each with one file.
const TEAMS: usize = 12;
/// The number of models that a team declares.
const MODELS: usize = 20;
/// The number of changes in the scenarios that measure sequential changes.
const CHANGES: usize = 10;
/// The duration of a fault of the service.
const OUTAGE: Duration = Duration::from_secs(40);
/// Maximum wait until a change is in force at all processes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(150);
/// Wait for connections and watchers to settle before the measurement.
const WARM_UP: Duration = Duration::from_secs(15);
/// The minimum size of the large file in bytes.
const LARGE_FILE_BYTES: usize = 1_000_000;

/// A running fleet, its sampler and the seeded generator of changes.
struct ConfigTrial {
    fleet: SpreadFleet,
    random: StdRng,
    sampler: ConfigSampler,
    version: u64,
}

fn team_text(team: usize, version: u64) -> String {
    let mut text = format!("[team]\nname = team-{team}\n");
    for model in 0..MODELS {
        let _ = write!(
            text,
            "\n[model team-{team}-{model}]\nversion = {version}\nweights = team-{team}/{model}\n"
        );
    }
    text
}

/// Generates a text that compresses like the declarations of many organisations: the names
/// differ and the keys repeat.
fn large_text(random: &mut StdRng, version: u64) -> String {
    let mut text =
        format!("[team]\nname = large\n\n[model large]\nversion = {version}\nweights = w\n");
    let mut index = 0;
    while text.len() < LARGE_FILE_BYTES {
        let (name, version): (u32, u16) = (random.random(), random.random());
        let _ = write!(
            text,
            "\n[model large-{name:08x}-{index}]\nversion = {version}\nweights = large/{name:08x}\n"
        );
        index += 1;
    }
    text
}

impl ConfigTrial {
    async fn start(options: &ConfigOptions, processes: usize) -> Result<Self, Box<dyn Error>> {
        let seeds = (processes / PROCESSES_PER_SEED).max(MIN_SEEDS);
        let plan = SpreadPlan::builder().processes(processes).seeds(seeds).build();
        let fleet = SpreadFleet::start(plan)?;
        let random = StdRng::seed_from_u64(options.seed);
        let mut trial = Self { fleet, random, sampler: ConfigSampler::default(), version: 0 };
        let mut revision = 0;
        for team in 0..TEAMS {
            revision = trial.put(team).await?;
        }
        let settled = trial.fleet.wait_equal(revision, IN_FORCE_TIMEOUT).await?;
        settled.ok_or("the fleet did not converge before the timeout")?;
        trial.sampler.sample_for(&trial.fleet, WARM_UP).await?;
        Ok(trial)
    }

    async fn put(&mut self, team: usize) -> Result<u64, Box<dyn Error>> {
        self.version += 1;
        let name = format!("team-{team}");
        Ok(self.fleet.put_file(&name, &team_text(team, self.version)).await?)
    }

    async fn put_any(&mut self) -> Result<u64, Box<dyn Error>> {
        let team = self.random.random_range(0..TEAMS);
        self.put(team).await
    }

    async fn measure_propagation(
        &mut self,
        revision: u64,
        since_ms: u64,
    ) -> Result<(), Box<dyn Error>> {
        self.sampler.record_in_force(&self.fleet, revision, since_ms, IN_FORCE_TIMEOUT).await
    }

    async fn sample_for(&mut self, time: Duration) -> Result<(), Box<dyn Error>> {
        self.sampler.sample_for(&self.fleet, time).await
    }

    /// Makes one change and measures its propagation.
    async fn change(&mut self) -> Result<(), Box<dyn Error>> {
        let since = now_ms();
        let revision = self.put_any().await?;
        self.measure_propagation(revision, since).await
    }
}

/// Runs one scenario on its own fleet.
pub(super) fn run_scenario(scenario: ConfigScenario, options: &ConfigOptions) -> ScenarioResult {
    runtime::run(async {
        let (seed, processes) = (options.seed, options.processes);
        if scenario == ConfigScenario::PartitionHeal {
            return run_partition_heal(options).await;
        }
        let mut trial = ConfigTrial::start(options, processes).await?;
        match scenario {
            ConfigScenario::Healthy => run_changes(&mut trial, Duration::from_secs(3)).await?,
            ConfigScenario::Busy => run_changes(&mut trial, Duration::from_secs(1)).await?,
            ConfigScenario::ServiceDown => {
                let faults = ConfigFaults { unavailable: true, ..ConfigFaults::default() };
                run_outage(&mut trial, faults).await?;
            }
            ConfigScenario::Stale => {
                let faults = ConfigFaults { view: ServedView::Frozen, ..ConfigFaults::default() };
                run_outage(&mut trial, faults).await?;
            }
            ConfigScenario::RolledBack => {
                let faults =
                    ConfigFaults { view: ServedView::At(TEAMS as u64), ..ConfigFaults::default() };
                trial.change().await?;
                run_outage(&mut trial, faults).await?;
            }
            ConfigScenario::RestartAll => run_restart(&mut trial, None).await?,
            ConfigScenario::RestartAllServiceBack => run_restart(&mut trial, Some(OUTAGE)).await?,
            ConfigScenario::Newcomer => run_newcomers(&mut trial).await?,
            ConfigScenario::LargeFile => run_large_file(&mut trial).await?,
            ConfigScenario::PartitionHeal => {}
        }
        trial.sample_for(Duration::from_secs(3)).await?;
        trial.sampler.finish(scenario, seed, &[&trial.fleet]).await
    })?
}

async fn run_changes(trial: &mut ConfigTrial, pause: Duration) -> Result<(), Box<dyn Error>> {
    for _ in 0..CHANGES {
        trial.change().await?;
        let jitter = trial.random.random_range(0.5..1.5);
        trial.sample_for(pause.mul_f64(jitter)).await?;
    }
    Ok(())
}

/// Applies `faults` to the service, changes files meanwhile, and measures the time from the end
/// of the faults until the last change is in force.
async fn run_outage(trial: &mut ConfigTrial, faults: ConfigFaults) -> Result<(), Box<dyn Error>> {
    trial.fleet.set_faults(faults).await?;
    trial.sample_for(OUTAGE).await?;
    let mut revision = 0;
    for _ in 0..3 {
        revision = trial.put_any().await?;
    }
    trial.sample_for(OUTAGE / 4).await?;
    let since = now_ms();
    trial.fleet.set_faults(ConfigFaults::default()).await?;
    trial.measure_propagation(revision, since).await
}

async fn run_restart(
    trial: &mut ConfigTrial,
    outage: Option<Duration>,
) -> Result<(), Box<dyn Error>> {
    trial.sampler.record_steps_down(&trial.fleet);
    let revision = trial.put_any().await?;
    if outage.is_some() {
        let faults = ConfigFaults { unavailable: true, ..ConfigFaults::default() };
        trial.fleet.set_faults(faults).await?;
    }
    let mut since = now_ms();
    trial.fleet.restart_all()?;
    if let Some(outage) = outage {
        trial.sample_for(outage).await?;
        since = now_ms();
        trial.fleet.set_faults(ConfigFaults::default()).await?;
    }
    trial.measure_propagation(revision, since).await
}

async fn run_newcomers(trial: &mut ConfigTrial) -> Result<(), Box<dyn Error>> {
    let revision = trial.put_any().await?;
    trial.fleet.wait_equal(revision, IN_FORCE_TIMEOUT).await?;
    let faults = ConfigFaults { unavailable: true, ..ConfigFaults::default() };
    trial.fleet.set_faults(faults).await?;
    for _ in 0..5 {
        let since = now_ms();
        let index = trial.fleet.add()?;
        trial.fleet.wait_equal(revision, IN_FORCE_TIMEOUT).await?;
        let at = in_force_at(&trial.fleet.processes[index].handle, revision);
        trial.sampler.record_delay(at.map(|at| at.saturating_sub(since) as f64));
    }
    Ok(())
}

async fn run_large_file(trial: &mut ConfigTrial) -> Result<(), Box<dyn Error>> {
    let text = large_text(&mut trial.random, 1);
    let since = now_ms();
    let revision = trial.fleet.put_file("large", &text).await?;
    trial.measure_propagation(revision, since).await?;
    let edited = text.replacen("weights = w\n", "weights = v\n", 1);
    let since = now_ms();
    let revision = trial.fleet.put_file("large", &edited).await?;
    trial.measure_propagation(revision, since).await
}

/// Connects two halves, whose services have different states, through one additional process.
async fn run_partition_heal(options: &ConfigOptions) -> ScenarioResult {
    let half = options.processes / 2;
    let mut left = ConfigTrial::start(options, half).await?;
    let mut right = ConfigTrial::start(options, options.processes - half - 1).await?;
    let mut highest = 0;
    for _ in 0..5 {
        highest = left.put_any().await?;
    }
    left.fleet
        .wait_equal(highest, IN_FORCE_TIMEOUT)
        .await?
        .ok_or("the left half did not converge before the timeout")?;
    for _ in 0..9 {
        highest = right.put_any().await?;
    }
    right
        .fleet
        .wait_equal(highest, IN_FORCE_TIMEOUT)
        .await?
        .ok_or("the right half did not converge before the timeout")?;
    let since = now_ms();
    let seeds = [left.fleet.processes[0].peers, right.fleet.processes[0].peers];
    let service = right.fleet.service.listen()?;
    right.fleet.add_with(service, &seeds)?;
    left.measure_propagation(highest, since).await?;
    right
        .fleet
        .wait_equal(highest, IN_FORCE_TIMEOUT)
        .await?
        .ok_or("the right half did not converge after the connection")?;
    let ConfigTrial { fleet: right, sampler, .. } = right;
    drop(sampler);
    left.sample_for(Duration::from_secs(5)).await?;
    left.sampler.finish(ConfigScenario::PartitionHeal, options.seed, &[&left.fleet, &right]).await
}
