//! Runs each pattern with each policy and prints a table.

use std::io::Write;
use std::net::UdpSocket;
use std::time::Duration;

use papayamux_coordination::placement::PlacementPolicy;
use papayamux_platform_standins::{
    ConfigurationDraft, OrganisationDraft, ServerListing, ServerStandIn, StoreStandIn,
};
use papayamux_state::quantities::ByteCount;
use papayamux_testbed::{ProcessHandle, ProcessUsage};

use super::callers::{organisation_key, run_calls};
use super::engine_kind::{EngineKind, EngineTraits};
use super::engine_model::{EngineRegistry, OWN_TOKENS, SHARED_TOKENS};
use super::footprint::RouterFootprint;
use super::load_pattern::{draw_calls, LoadPattern, ORGANISATIONS};
use super::options::SurgeOptions;
use super::summary::{summarize, SurgeSummary};
use crate::front_settings::FrontSettings;
use crate::tasks::TaskError;

/// Time for routers to read the store and to discover each other.
const STARTUP_DURATION: Duration = Duration::from_millis(1_500);
/// Fraction of engines that drain under [`LoadPattern::EnginesGone`]: one in this many.
const LEAVING: usize = 3;

/// Runs all cases and prints a row for each.
pub fn run_surge(options: &SurgeOptions) -> Result<(), TaskError> {
    println!(
        "| engines | pattern | policy | on time | other organisations on time | late | not served | \
         of these told | \
         first event, p50 ms | p99 ms | shared tokens read | router, MB at start: program, rest | \
         MB at most | processor ms a request |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for kind in &options.kinds {
        for pattern in &options.patterns {
            for policy in &options.policies {
                let case = SurgeCase { kind: *kind, pattern: *pattern, policy: *policy };
                print_row(case, &measure_case(options, case)?);
            }
        }
    }
    Ok(())
}

/// The case that one row of the table shows.
#[derive(Debug, Clone, Copy)]
struct SurgeCase {
    kind: EngineKind,
    pattern: LoadPattern,
    policy: PlacementPolicy,
}

/// Result of one policy under one pattern.
struct PatternResult {
    summary: SurgeSummary,
    /// Number of tokens of shared parts that engines had to prefill.
    cold_tokens: u64,
    footprint: RouterFootprint,
}

fn print_row(case: SurgeCase, result: &PatternResult) {
    let SurgeCase { kind, pattern, policy } = case;
    let PatternResult { summary, cold_tokens, footprint } = result;
    println!(
        "| {kind} | {pattern} | {policy} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | \
         {cold_tokens} | {:.1}, {:.1} | {:.1} | {:.2} |",
        summary.on_time,
        summary.others_on_time,
        summary.late,
        summary.unserved,
        summary.told,
        summary.median_ms,
        summary.high_ms,
        megabytes(footprint.program),
        megabytes(footprint.rest),
        megabytes(footprint.peak),
        footprint.cpu_a_request.as_secs_f64() * 1_000.0
    );
}

fn megabytes(bytes: ByteCount) -> f64 {
    bytes.get() as f64 / 1_000_000.0
}

fn measure_case(options: &SurgeOptions, case: SurgeCase) -> Result<PatternResult, TaskError> {
    let SurgeCase { kind, pattern, policy } = case;
    let usual = EngineTraits::of(kind, usize::MAX);
    let store = StoreStandIn::start();
    store.put_configuration(&configuration(usual));
    let registry = EngineRegistry::default();
    let start =
        |number| registry.start(&format!("engine-{number}"), EngineTraits::of(kind, number));
    let engines: Vec<_> = (0..options.engines).map(start).collect();
    let listing = ServerListing { address: None, slots: usual.slots, draining: false, born: None };
    for engine in &engines {
        engine.list(&store, listing);
    }
    let routers = start_routers(options, policy, &store)?;
    std::thread::sleep(STARTUP_DURATION);
    let addresses =
        routers.iter().map(|router| router.0.listen()).collect::<Result<Vec<_>, _>>()?;
    let before = usages(&routers)?;
    let calls = draw_calls(pattern, options.seed, options.length);
    let outcomes = std::thread::scope(|scope| {
        if pattern == LoadPattern::EnginesGone {
            scope.spawn(|| drain_halfway(&store, &engines, listing, options.length));
        }
        scope.spawn(|| {
            std::thread::sleep(options.length / 2);
            registry.slow_down();
        });
        run_calls(&calls, &addresses)
    })?;
    Ok(PatternResult {
        summary: summarize(&outcomes)?,
        cold_tokens: registry.cold_tokens(),
        footprint: RouterFootprint::between(&before, &usages(&routers)?, outcomes.len()),
    })
}

fn usages(routers: &[StartedRouter]) -> Result<Vec<ProcessUsage>, TaskError> {
    routers.iter().map(|router| Ok(router.0.usage()?)).collect()
}

fn configuration(traits: EngineTraits) -> ConfigurationDraft {
    let organisations = (0..ORGANISATIONS).map(|number| OrganisationDraft {
        name: format!("organisation-{number}"),
        keys: vec![organisation_key(number)],
    });
    ConfigurationDraft {
        organisations: organisations.collect(),
        engine_slots: traits.slots,
        cache_tokens: traits.cached_parts as u64 * (SHARED_TOKENS + OWN_TOKENS),
        ..ConfigurationDraft::default()
    }
}

fn drain_halfway(
    store: &StoreStandIn,
    engines: &[ServerStandIn],
    listing: ServerListing,
    length: Duration,
) {
    std::thread::sleep(length / 2);
    for engine in engines.iter().take(engines.len() / LEAVING) {
        engine.list(store, ServerListing { draining: true, ..listing });
    }
}

/// A router process and its settings file, which must outlive it.
type StartedRouter = (ProcessHandle, tempfile::NamedTempFile);

fn start_routers(
    options: &SurgeOptions,
    policy: PlacementPolicy,
    store: &StoreStandIn,
) -> Result<Vec<StartedRouter>, TaskError> {
    let peers_port = UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port();
    let count = options.routers;
    let start = |index| {
        let further = format!("[bounds]\ngrace = 4s\n[placement]\npolicy = {policy}\n");
        let settings = FrontSettings { index, count, peers_port, store: store.address, further };
        let mut file = tempfile::NamedTempFile::new()?;
        file.write_all(settings.text().as_bytes())?;
        let path = file.path().to_string_lossy().into_owned();
        Ok((ProcessHandle::start("papayamux-front", &[path])?, file))
    };
    (0..count).map(start).collect()
}
