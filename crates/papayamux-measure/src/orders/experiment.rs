//! Runs the scenarios of the order measurement.

use std::error::Error;

use papayamux_protocol::engine::EngineOrder;
use papayamux_transport::runtime;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use serde_json::json;

use super::scenario::OrderScenario;
use super::trial_fleet::{TrialFleet, WantedModels};

const OLD_MODELS: [&str; 2] = ["itinerary@1", "refunds@1"];
const NEW_MODELS: [&str; 2] = ["itinerary@2", "refunds@2"];

/// Options of the order measurement.
#[derive(Debug, Clone)]
pub struct OrderOptions {
    /// The seed that selects the affected engines.
    pub seed: u64,
    /// The scenarios to run; all if empty.
    pub scenarios: Vec<OrderScenario>,
    /// The number of engines in the fleet.
    pub engines: usize,
}

/// Runs the scenarios and prints one JSON line per scenario.
pub fn measure_orders(options: &OrderOptions) -> Result<(), Box<dyn Error>> {
    let scenarios = match options.scenarios.is_empty() {
        true => OrderScenario::ALL.to_vec(),
        false => options.scenarios.clone(),
    };
    for scenario in scenarios {
        let trial = TrialFleet::start(scenario, options.engines)?;
        println!("{}", runtime::run(run_scenario(scenario, options, trial))??);
    }
    Ok(())
}

async fn run_scenario(
    scenario: OrderScenario,
    options: &OrderOptions,
    mut trial: TrialFleet,
) -> Result<serde_json::Value, Box<dyn Error>> {
    let mut random = SmallRng::seed_from_u64(options.seed);
    let mut engines: Vec<usize> = (0..options.engines).collect();
    engines.shuffle(&mut random);
    let all =
        |models: [&'static str; 2]| -> WantedModels { vec![models.to_vec(); options.engines] };
    let wanted = match scenario {
        OrderScenario::EmptyFleet | OrderScenario::SlowStore | OrderScenario::NewVersion => {
            all(NEW_MODELS)
        }
        OrderScenario::EnginesRestart => all(OLD_MODELS),
        OrderScenario::LatePredecessors => all(NEW_MODELS),
        OrderScenario::ModelMoves => {
            let mut wanted = all(OLD_MODELS);
            engines.iter().take(options.engines / 2).for_each(|engine| wanted[*engine].truncate(1));
            wanted
        }
    };
    let (elapsed, wrong) = match scenario {
        OrderScenario::EnginesRestart => {
            trial.start_agents(1, &wanted)?;
            trial.converge(&wanted).await?;
            for engine in engines.iter().take(options.engines / 3) {
                trial.fleet.replace_engine(*engine)?;
            }
            trial.converge(&wanted).await?
        }
        OrderScenario::LatePredecessors => {
            late_predecessors(&mut trial, &wanted, &all(OLD_MODELS)).await?
        }
        _ => {
            trial.start_agents(1, &wanted)?;
            trial.converge(&wanted).await?
        }
    };
    let store = trial.fleet.store_counters().await?;
    Ok(json!({
        "measure": "orders",
        "scenario": scenario.label(),
        "seed": options.seed,
        "engines": options.engines,
        "wrong_end_states": wrong,
        "converge_ms": elapsed.as_millis() as u64,
        "store_rate": scenario.store_rate(),
        "store_loads": store.calls.calls - store.calls.refused,
        "store_loads_per_s_max": store.calls.highest_per_second,
        "store_refused": store.calls.refused,
        "least_serving": trial.min_serving,
        "orders": trial.sum("papayamux_agent_order_outcomes_total", "obeyed").await?,
        "stepped_back": trial.sum("papayamux_agent_superseded", "").await?,
    }))
}

/// Pauses the old agents, lets new ones take over, delivers a late order of each old agent, and
/// then resumes the old agents.
async fn late_predecessors(
    trial: &mut TrialFleet,
    wanted: &WantedModels,
    old: &WantedModels,
) -> Result<(std::time::Duration, usize), Box<dyn Error>> {
    trial.start_agents(1, old)?;
    trial.converge(old).await?;
    let mut late = Vec::new();
    for engine in 0..old.len() {
        let fence = trial.fleet.engine_state(engine).await?.fence.unwrap_or_default() + 1;
        let (models, role) = (vec!["itinerary".to_string()], "both".to_string());
        late.push(EngineOrder { fence, models, role, ..EngineOrder::default() });
    }
    for agent in &trial.agents {
        agent.pause()?;
    }
    trial.fleet.renew_addresses()?;
    trial.start_agents(2, wanted)?;
    trial.converge(wanted).await?;
    for (engine, order) in late.iter().enumerate() {
        trial.fleet.send_order(engine, order).await?;
    }
    for agent in &trial.agents[..old.len()] {
        agent.wake()?;
    }
    trial.converge(wanted).await
}
