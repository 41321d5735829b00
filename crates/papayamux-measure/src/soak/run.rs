//! Runs a soak and prints its report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayamux_platform_standins::{ConfigurationDraft, StoreStandIn, KEY};
use papayamux_transport::runtime;

use super::checks::{check_history, Violation};
use super::fatal_requests::run_fatal_caller;
use super::fault_kind::{add_outages, add_restores, add_rollouts, draw_faults, draw_with_entries};
use super::fleet::{SoakFleet, SoakServer};
use super::history::{CallResult, SoakHistory};
use super::injector::{version_name, FaultInjector};
use super::options::{FatalKind, SoakOptions};
use super::scarce_history::ScarceHistory;
use super::scarce_service::{competing_organisations, ScarceService};
use super::servers::{start_foreign_server, RunLog};
use super::workload::{run_caller, CallerState};
use crate::tasks::TaskError;

/// Interval at which due faults are checked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Undisturbed time at the end: the recovery, and some seconds in which every request must be
/// served.
const RECOVERY_DURATION: Duration = Duration::from_secs(12);
/// Time for the fleet to start up before callers connect.
const STARTUP_DURATION: Duration = Duration::from_secs(2);
/// Number of software versions with which a soak of several versions starts.
const FIRST_VERSIONS: usize = 2;
/// The services; `llm` is the one of engines.
const SERVICES: [&str; 3] = ["plain", "other", "llm"];

/// Runs a soak and prints its report.
///
/// Returns an error if a guarantee was broken.
pub fn run_soak(options: &SoakOptions) -> Result<(), TaskError> {
    let history = runtime::run(simulate(options))??;
    let violations = check_history(&history);
    print_report(options, &history, &violations);
    match violations.is_empty() {
        true => Ok(()),
        false => Err(format!("seed {}: {} broken promises", options.seed, violations.len()).into()),
    }
}

async fn simulate(options: &SoakOptions) -> Result<SoakHistory, TaskError> {
    let begun = Instant::now();
    let mut injector = start(options, begun)?;
    monoio::time::sleep(STARTUP_DURATION).await;
    let callers: Vec<_> = (0..options.callers as u64)
        .map(|number| {
            let (caller_state, seed) = (injector.fleet.caller_state.clone(), options.seed);
            std::thread::spawn(move || run_caller(&caller_state, number, seed))
        })
        .collect();
    let scarce = options.scarce.then(|| ScarceService::start(&injector.fleet.store, begun));
    let competing = scarce
        .as_ref()
        .map(|service| service.start_callers(&injector.fleet.caller_state, options.seed));
    let fatal = (options.fatal != FatalKind::Absent).then(|| {
        let (caller_state, seed) = (injector.fleet.caller_state.clone(), options.seed);
        let fatal = options.fatal;
        std::thread::spawn(move || run_fatal_caller(&caller_state, fatal, seed))
    });
    let offset = injector.fleet.caller_state.now();
    let faults = match options.entries {
        true => draw_with_entries(options.seed, options.length),
        false => draw_faults(options.seed, options.length),
    };
    let faults = match options.versions {
        true => add_rollouts(faults, options.seed, options.length),
        false => faults,
    };
    let faults = match options.outages {
        true => add_outages(faults, options.seed, options.length),
        false => faults,
    };
    let faults = match options.restores {
        true => add_restores(faults, options.seed, options.length),
        false => faults,
    };
    for fault in faults {
        println!(
            "{:>6.2} s {:?} for {:.1} s, target {}",
            fault.at.as_secs_f64(),
            fault.kind,
            fault.length.as_secs_f64(),
            fault.target
        );
        while injector.fleet.caller_state.now() < offset + fault.at {
            monoio::time::sleep(POLL_INTERVAL).await;
            injector.end_due().await?;
        }
        injector.begin(fault).await?;
    }
    injector.fleet.caller_state.end_faults();
    if let Some(fatal) = fatal {
        injector.history.fatal_calls =
            fatal.join().map_err(|_| "the caller of the fatal request panicked")?;
    }
    injector.end_all().await?;
    let calm_until = injector.fleet.caller_state.now() + RECOVERY_DURATION;
    while injector.fleet.caller_state.now() < calm_until {
        monoio::time::sleep(POLL_INTERVAL).await;
        injector.end_due().await?;
    }
    injector.fleet.caller_state.end();
    for caller in callers.into_iter().chain(competing.into_iter().flatten()) {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    let mut history = injector.history;
    history.fatal = options.fatal;
    history.scarce = scarce.map(|service| service.take_history()).unwrap_or_default();
    history.calls = injector.fleet.caller_state.take_calls();
    history.streams = injector.fleet.caller_state.take_streams();
    history.runs = injector.fleet.run_log.take();
    history.fatal_runs = injector.fleet.run_log.take_fatal();
    Ok(history)
}

fn start(options: &SoakOptions, begun: Instant) -> Result<FaultInjector, TaskError> {
    let store = StoreStandIn::start();
    let run_log = RunLog::new(begun, options.fatal);
    let caller_state = CallerState::new(begun, options.routers, KEY, options.versions);
    let mut servers = Vec::new();
    for service in SERVICES {
        for number in 0..options.servers {
            let id = format!("{service}-{number}");
            let version = if options.versions { number % FIRST_VERSIONS } else { 0 };
            let version = version_name(version);
            servers.push(SoakServer::start(&store, &run_log, service, &version, &id)?);
        }
    }
    let foreign = start_foreign_server(&run_log);
    let fleet = SoakFleet { store, run_log, caller_state, routers: Vec::new(), servers, foreign };
    let mut draft = ConfigurationDraft::default();
    if options.scarce {
        draft.has_scarce_service = true;
        draft.organisations.extend(competing_organisations());
    }
    let mut injector = FaultInjector::new(fleet, draft, options.versions);
    injector.fleet.start_routers(options.routers)?;
    Ok(injector)
}

fn print_report(options: &SoakOptions, history: &SoakHistory, violations: &[Violation]) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for call in &history.calls {
        let name = match call.result {
            CallResult::Served => "served",
            CallResult::Wrong(_) => "wrong",
            CallResult::NotRun => "not run",
            CallResult::Failed(_) => "failed",
            CallResult::Nothing => "cut off",
        };
        *counts.entry(name).or_default() += 1;
    }
    let counts: Vec<_> =
        counts.into_iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!(
        "seed {}: {} requests ({}), {} runs, {} faults, {} configurations, {} broken",
        options.seed,
        history.calls.len(),
        counts.join(", "),
        history.runs.len(),
        history.disturbances.len(),
        history.configurations.len(),
        violations.len()
    );
    if options.fatal != FatalKind::Absent {
        println!(
            "  the fatal request: {} calls, {} runs",
            history.fatal_calls.len(),
            history.fatal_runs.len()
        );
    }
    if options.scarce {
        print_scarce(&history.scarce);
    }
    if options.versions {
        let resumed = history.streams.iter();
        let went_on = resumed.filter(|stream| stream.resumed.result == CallResult::Served).count();
        println!("  resumed streams: {}, {went_on} went on", history.streams.len());
    }
    for violation in violations {
        println!("  {violation}");
    }
}

fn print_scarce(scarce: &ScarceHistory) {
    let refused = scarce.calls.iter().filter(|one| one.call.result == CallResult::NotRun);
    println!(
        "  the small service: {} calls, {} refused, {} runs, {} at a full server",
        scarce.calls.len(),
        refused.count(),
        scarce.runs.len(),
        scarce.overflows.len()
    );
}
