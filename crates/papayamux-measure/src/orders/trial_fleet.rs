//! A fleet of engines with their agents, compared with the declared models.

use std::error::Error;
use std::time::{Duration, Instant};

use papayamux_protocol::engine::EngineState;
use papayamux_testbed::{has_models, OrderFleet, OrderPlan, ProcessHandle};

use super::scenario::{OrderScenario, DECLARED_RATE};

/// Maximum time for a fleet to converge.
const CONVERGE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which a converged fleet is watched for deviations.
const WATCH_DURATION: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The wanted models of each engine, as `NAME@VERSION`.
pub type WantedModels = Vec<Vec<&'static str>>;

/// A running fleet under measurement.
pub struct TrialFleet {
    /// The engines and the weight store.
    pub fleet: OrderFleet,
    /// All agents started so far.
    pub agents: Vec<ProcessHandle>,
    /// The minimum number of engines with a given model loaded, over all models and observations.
    pub min_serving: usize,
}

impl TrialFleet {
    /// Starts the engines and the weight store, without agents.
    pub fn start(scenario: OrderScenario, engines: usize) -> Result<Self, Box<dyn Error>> {
        let mut arguments = vec!["--load-ms".to_string(), "100".to_string()];
        if scenario == OrderScenario::LatePredecessors {
            arguments.push("--ignore-fencing".to_string());
        }
        let plan = OrderPlan::builder()
            .engines(engines)
            .loaded(scenario.loaded().to_string())
            .engine_arguments(arguments)
            .store_rate(scenario.store_rate())
            .build();
        Ok(Self { fleet: OrderFleet::start(plan)?, agents: Vec::new(), min_serving: engines })
    }

    /// Starts an agent for each engine, with `wanted` as the declared models.
    pub fn start_agents(
        &mut self,
        revision: u64,
        wanted: &WantedModels,
    ) -> Result<(), Box<dyn Error>> {
        let names = |models: &Vec<&str>| -> String {
            let names = models.iter().map(|model| model.split('@').next().unwrap_or_default());
            names.collect::<Vec<_>>().join(", ")
        };
        let peers: Vec<String> = wanted.iter().map(names).collect();
        let peers: Vec<&str> = peers.iter().map(String::as_str).collect();
        for (engine, models) in wanted.iter().enumerate() {
            let orders = format!(
                "look_every = 250ms\nload_rate = {DECLARED_RATE}\nrevision = {revision}\n\
                 in_force = itinerary, refunds\nmodels = {}",
                models.join(", ")
            );
            self.agents.push(self.fleet.start_agent(engine, &orders, &peers)?);
        }
        Ok(())
    }

    /// Waits until all engines have had the wanted models for longer than `WATCH_DURATION`, or
    /// until the timeout. Returns the time to convergence and the number of engines in a wrong
    /// state.
    pub async fn converge(
        &mut self,
        wanted: &WantedModels,
    ) -> Result<(Duration, usize), Box<dyn Error>> {
        let start = Instant::now();
        let mut since: Option<Instant> = None;
        loop {
            let wrong = self.count_wrong(wanted).await?;
            let now = Instant::now();
            match (wrong, since) {
                (0, None) => since = Some(now),
                (0, Some(reached)) if now - reached > WATCH_DURATION => {
                    return Ok((reached - start, 0))
                }
                (0, Some(_)) => {}
                _ => since = None,
            }
            if now - start > CONVERGE_TIMEOUT {
                return Ok((now - start, wrong));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn count_wrong(&mut self, wanted: &WantedModels) -> Result<usize, Box<dyn Error>> {
        let mut states: Vec<EngineState> = Vec::new();
        for engine in 0..wanted.len() {
            states.push(self.fleet.engine_state(engine).await?);
        }
        for model in ["itinerary", "refunds"] {
            let serves = |state: &&EngineState| state.models.iter().any(|item| item.name == model);
            self.min_serving = self.min_serving.min(states.iter().filter(serves).count());
        }
        let pairs = states.iter().zip(wanted);
        Ok(pairs.filter(|(state, models)| !has_models(state, models)).count())
    }

    /// Returns the sum of a metric over all agents.
    pub async fn sum(&self, name: &str, label: &str) -> Result<f64, Box<dyn Error>> {
        let mut sum = 0.0;
        for agent in &self.agents {
            sum += agent.metrics().await?.sum(name, label);
        }
        Ok(sum)
    }
}
