//! Runs the scenarios one after the other.

use std::error::Error;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;

use bon::Builder;
use papayamux_testbed::{Fleet, FleetPlan};
use papayamux_transport::runtime;
use rand::rngs::StdRng;
use rand::SeedableRng;

use super::actual_runs::ActualRuns;
use super::fault_stage::{FaultStage, SharedState};
use super::injector::FaultInjector;
use super::scenario::FaultScenario;
use super::tally::PromiseTally;
use super::workload::{run_workload, WorkloadPlan};

/// Servers known to each router where the lists differ, of three engines and two services.
const DIFFERENT_LISTS: [&[usize]; 2] = [&[0, 1, 2, 3, 4], &[1, 2, 4]];

/// Options of the measurement.
#[derive(Debug, Clone, PartialEq, Eq, Builder)]
pub struct PromiseOptions {
    /// Seed of the workload and the faults.
    #[builder(default = 1)]
    pub seed: u64,
    /// Names of the scenarios to run; all if empty.
    #[builder(default)]
    pub scenarios: Vec<String>,
    /// Number of requests per scenario.
    #[builder(default = 450)]
    pub requests: usize,
}

/// Runs the scenarios and prints one line for each and one with the totals.
///
/// Returns an error if a guarantee was broken.
pub fn run_promises(options: &PromiseOptions) -> Result<(), Box<dyn Error>> {
    let scenarios = FaultScenario::named(&options.scenarios)?;
    let mut total =
        PromiseTally { scenario: "total".to_string(), seed: options.seed, ..Default::default() };
    for scenario in &scenarios {
        let tally = run_scenario(scenario, options)?;
        println!("{}", serde_json::to_string(&tally)?);
        for suspect in &tally.suspects {
            eprintln!("{}: {suspect}", tally.scenario);
        }
        total.add(&tally);
    }
    println!("{}", serde_json::to_string(&total)?);
    match total.broken_promises() {
        0 => Ok(()),
        broken => Err(format!("{broken} requests broke a promise").into()),
    }
}

/// Time for which witnesses remember a key: longer than a caller waits before a retry, and short
/// enough that a witness restarted during the run can rejoin within it.
const CLAIM_RETENTION: &str = "2m";

fn fleet_plan(scenario: &FaultScenario) -> FleetPlan {
    let known = match scenario.lists_differ() {
        true => DIFFERENT_LISTS.map(<[usize]>::to_vec).into(),
        false => Vec::new(),
    };
    FleetPlan::builder()
        .services(2)
        .faulty_links(true)
        .known_servers(known)
        .claim_retention(CLAIM_RETENTION.to_string())
        .service_arguments(["--call-ms", "20"].map(str::to_string).into())
        .build()
}

fn run_scenario(
    scenario: &FaultScenario,
    options: &PromiseOptions,
) -> Result<PromiseTally, Box<dyn Error>> {
    let started = Instant::now();
    let fleet = Fleet::start(fleet_plan(scenario))?;
    runtime::run(fleet.wait_claims_open())??;
    let routers = fleet.routers.iter().map(|router| router.listen()).collect::<Result<_, _>>()?;
    let ready = fleet.routers.iter().map(|_| AtomicBool::new(true)).collect();
    let shared = Arc::new(SharedState { ready, ..SharedState::default() });
    let plan = WorkloadPlan {
        seed: options.seed,
        requests: options.requests,
        routers,
        shared: shared.clone(),
    };
    let callers = std::thread::spawn(move || run_workload(plan));
    let stage = FaultStage::new(fleet, shared);
    runtime::run(inject_all(&stage, scenario, options.seed))??;
    let records = callers.join().map_err(|_| "the callers' thread panicked")??;
    let faults = stage.records.take();
    let last_new_work = stage.last_new_work.get();
    let unclean_exits = stage.unclean_exits.get();
    let fleet = stage.fleet.into_inner();
    let actual_runs = runtime::run(ActualRuns::settle(&fleet))??;
    Ok(PromiseTally {
        scenario: scenario.to_string(),
        seed: options.seed,
        unclean_exits,
        last_new_work_ms: last_new_work.map(|after| after.as_millis() as u64),
        seconds: (started.elapsed().as_secs_f64() * 10.0).round() / 10.0,
        ..PromiseTally::count(&records, &faults, &actual_runs)
    })
}

async fn inject_all(
    stage: &FaultStage,
    scenario: &FaultScenario,
    seed: u64,
) -> Result<(), papayamux_testbed::TestbedError> {
    let injectors = scenario.faults.iter().enumerate().map(|(place, kind)| {
        let random = StdRng::seed_from_u64(seed.rotate_left(17) ^ (place as u64 + 1));
        FaultInjector { stage, kind: *kind, random }.run()
    });
    futures_util::future::try_join_all(injectors).await?;
    Ok(())
}
