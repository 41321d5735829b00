//! Runs the policies sequentially, each on its own fleet.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayamux_testbed::{Caller, Fleet, FleetPlan, ProcessHandle, TestbedError};
use papayamux_transport::runtime;

use super::control_traffic::{mean_rate, read_counts};
use super::disturbance::DisturbancePlan;
use super::load_sampler::{sample_loads, SampledServer};
use super::options::{RoutingOptions, UNSET_POLICY};
use super::prefix_oracle::PrefixOracle;
use super::report::{RoutingReport, RunLabel, RunResults};
use super::scenario::Scenario;
use super::session::SessionContext;
use super::site::SiteProfile;
use super::tally::RunTally;
use super::workload::{organisation_name, Workload, ORGANISATIONS};

/// The number of servers missing from each router's list in the scenario `lists-differ`.
const MISSING_PER_LIST: usize = 2;
/// The share of a run that is warm-up and excluded from the figures.
const WARM_UP_SHARE: f64 = 0.25;
/// Maximum wait for requests in flight after the end of a run.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the measurement and prints one JSON line per policy and scenario.
pub fn measure_routing(options: &RoutingOptions) -> Result<(), Box<dyn Error>> {
    let mut site = SiteProfile::of(options.site);
    site.chats_per_second *= options.load;
    for scenario in &options.scenarios {
        let workload = Workload::generate(options.seed, &site, *scenario, options.seconds);
        let workload = Rc::new(workload);
        for policy in &options.policies {
            let plan = fleet_plan(options, &site, *scenario, policy);
            let run = run_policy(plan, &site, *scenario, workload.clone(), options.seconds)?;
            let label = RunLabel {
                policy: policy.clone(),
                scenario: scenario.to_string(),
                site: options.site.to_string(),
                seed: options.seed,
                load: options.load,
                seconds: options.seconds,
                warm_up_seconds: options.seconds * WARM_UP_SHARE,
            };
            let report = RoutingReport::new(label, &site, &run);
            println!("{}", serde_json::to_string(&report)?);
            std::io::stdout().flush()?;
        }
    }
    Ok(())
}

fn fleet_plan(
    options: &RoutingOptions,
    site: &SiteProfile,
    scenario: Scenario,
    policy: &str,
) -> FleetPlan {
    let policy_line = match policy {
        UNSET_POLICY => String::new(),
        named => format!("policy = {named}\n"),
    };
    FleetPlan::builder()
        .routers(site.routers)
        .engines(site.engines)
        .services(site.services)
        .engine_arguments(engine_arguments(site, scenario))
        .router_lines(format!("{policy_line}{}", options.router_lines))
        .agent_server_lines(options.agent_lines.clone())
        .known_servers(known_servers(site, scenario))
        .build()
}

fn engine_arguments(site: &SiteProfile, scenario: Scenario) -> Vec<String> {
    let reports = scenario.engine_reports();
    let named = [
        ("--step-us", site.step.as_micros().to_string()),
        ("--batch", site.batch.to_string()),
        ("--prefill", site.prefill.to_string()),
        ("--cache-blocks", site.cache_blocks.to_string()),
        ("--load-lag-ms", reports.load_lag.as_millis().to_string()),
        ("--event-late-ms", reports.event_lateness.as_millis().to_string()),
        ("--event-gap-share", reports.event_gap_share.to_string()),
    ];
    named.into_iter().flat_map(|(name, value)| [name.to_string(), value]).collect()
}

/// Returns the servers on each router's list. The result is empty unless the lists differ; then
/// each list lacks two servers that the others have.
fn known_servers(site: &SiteProfile, scenario: Scenario) -> Vec<Vec<usize>> {
    if scenario != Scenario::ListsDiffer {
        return Vec::new();
    }
    let servers = site.engines + site.services;
    let list_of =
        |router: usize| (0..servers).filter(|server| server / MISSING_PER_LIST != router).collect();
    (0..site.routers).map(list_of).collect()
}

fn run_policy(
    plan: FleetPlan,
    site: &SiteProfile,
    scenario: Scenario,
    workload: Rc<Workload>,
    seconds: f64,
) -> Result<RunResults, Box<dyn Error>> {
    let mut fleet = Fleet::start(plan)?;
    let addresses = FleetAddresses::of(&fleet, site.engines)?;
    let replaced = Arc::new(AtomicU64::new(0));
    let (started_at, length) = (Instant::now(), Duration::from_secs_f64(seconds));
    let engines = site.engines;
    std::thread::scope(|scope| {
        let mask = replaced.clone();
        let fleet = &mut fleet;
        let disturber = scope.spawn(move || {
            let replaced = &*mask;
            DisturbancePlan { scenario, engines, started_at, length, replaced }.apply_faults(fleet)
        });
        let context = Rc::new(SessionContext {
            started_at,
            end: length,
            callers: callers(&addresses.routers),
            workload,
            engines,
            replaced,
            oracle: RefCell::new(PrefixOracle::default()),
            tally: RefCell::new(RunTally::default()),
            in_flight: Cell::new(0),
        });
        let mut run = runtime::run(drive(context, addresses))?;
        let disturbed = disturber.join().map_err(|_| "the disturbance thread panicked")?;
        run.disturbance_error = disturbed.err().map(|error| error.to_string());
        Ok(run)
    })
}

async fn drive(context: Rc<SessionContext>, addresses: FleetAddresses) -> RunResults {
    let samples = Rc::new(RefCell::new(Vec::new()));
    monoio::spawn(sample_loads(addresses.sampled(), context.started_at, samples.clone()));
    for chat in 0..context.workload.chats.len() {
        monoio::spawn(context.clone().run_chat(chat));
    }
    for call in context.workload.calls.clone() {
        monoio::spawn(context.clone().run_call(call));
    }
    sleep_until(context.started_at, context.end.mul_f64(WARM_UP_SHARE)).await;
    let counted_from = context.started_at.elapsed();
    let routers_before = read_counts(&addresses.router_operations).await;
    let agents_before = read_counts(&addresses.agent_operations).await;
    sleep_until(context.started_at, context.end).await;
    let seconds = (context.started_at.elapsed() - counted_from).as_secs_f64();
    let routers_after = read_counts(&addresses.router_operations).await;
    let agents_after = read_counts(&addresses.agent_operations).await;
    let finish_by = context.started_at.elapsed() + FINISH_TIMEOUT;
    while context.in_flight.get() > 0 && context.started_at.elapsed() < finish_by {
        monoio::time::sleep(FINISH_POLL_INTERVAL).await;
    }
    let (tally, samples) = (context.tally.borrow().clone(), samples.borrow().clone());
    RunResults {
        tally,
        samples,
        control_router: mean_rate(&routers_before, &routers_after, seconds),
        control_agent: mean_rate(&agents_before, &agents_after, seconds),
        distinct_blocks: context.oracle.borrow().blocks(),
        unfinished: context.in_flight.get(),
        load_average: load_average(),
        disturbance_error: None,
    }
}

/// Returns the machine's load average over the last minute, if the system provides it.
fn load_average() -> Option<f64> {
    std::fs::read_to_string("/proc/loadavg").ok()?.split(' ').next()?.parse().ok()
}

async fn sleep_until(started_at: Instant, at: Duration) {
    monoio::time::sleep(at.saturating_sub(started_at.elapsed())).await;
}

fn callers(routers: &[SocketAddr]) -> Vec<Vec<Caller>> {
    let of_router = |router: &SocketAddr| {
        (0..ORGANISATIONS).map(|index| Caller::new(*router, &organisation_name(index))).collect()
    };
    routers.iter().map(of_router).collect()
}

/// The listening addresses of a fleet's processes.
struct FleetAddresses {
    routers: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    router_operations: Vec<SocketAddr>,
    agent_operations: Vec<SocketAddr>,
}

impl FleetAddresses {
    /// Pairs the engines with their agents, which are the first in the list of agents.
    fn sampled(&self) -> Vec<SampledServer> {
        let pairs = self.engines.iter().zip(&self.agent_operations);
        pairs.map(|(engine, agent)| SampledServer::new(*engine, *agent)).collect()
    }

    fn of(fleet: &Fleet, engines: usize) -> Result<Self, TestbedError> {
        let servers = &fleet.servers;
        Ok(Self {
            routers: fleet.routers.iter().map(ProcessHandle::listen).collect::<Result<_, _>>()?,
            engines: servers
                .iter()
                .take(engines)
                .map(|server| server.standin.listen())
                .collect::<Result<_, _>>()?,
            router_operations: fleet
                .routers
                .iter()
                .map(ProcessHandle::operations)
                .collect::<Result<_, _>>()?,
            agent_operations: servers
                .iter()
                .map(|server| server.agent.operations())
                .collect::<Result<_, _>>()?,
        })
    }
}
