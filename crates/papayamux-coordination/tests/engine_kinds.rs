//! Fleets whose engines differ by factors, each at a low load and at a multiple of what the usual
//! engines can serve: served and refused requests, and the errors of estimates.
//!
//! This covers deployments for which no measurements exist. Each kind differs from the usual one in
//! one property, and decisions without knowledge of it must not fall behind the baselines.
#![allow(clippy::unwrap_used, reason = "helpers of tests, which may panic")]

mod fleet_replay;

use std::fmt::Write;
use std::time::Duration;

use fleet_replay::{engine_kinds, replay, EngineKind, ReplayLoad, ReplayResult};
use papayamux_coordination::placement::PlacementPolicy;

/// Requests per second that are a low load for the usual engines.
const EASY: f64 = 60.0;
/// Requests per second that are twice the capacity of the usual engines.
const HEAVY: f64 = 600.0;
const LENGTH: Duration = Duration::from_secs(20);
/// Tolerated lead of the baselines, since only one seed is simulated.
const TOLERANCE: f64 = 0.03;

/// The default policy and the baselines that it is compared with, each with whether requests are
/// queued.
const POLICIES: [(&str, PlacementPolicy, bool); 4] = [
    ("warm", PlacementPolicy::Warm, true),
    ("warm, no queue", PlacementPolicy::Warm, false),
    ("bounded-hash", PlacementPolicy::BoundedHash, true),
    ("least-wait", PlacementPolicy::LeastWait, true),
];

fn run(engines: EngineKind, rate: f64, policy: PlacementPolicy, has_queue: bool) -> ReplayResult {
    replay(ReplayLoad { engines, policy, rate, length: LENGTH, seed: 5, has_queue })
}

/// Returns the result of each policy for one kind of engine.
fn run_all_policies(engines: EngineKind, rate: f64) -> Vec<(&'static str, ReplayResult)> {
    let run = |(name, policy, line)| (name, run(engines, rate, policy, line));
    POLICIES.into_iter().map(run).collect()
}

#[test]
fn unknown_engines_are_learnt_and_the_baselines_stay_behind() {
    let mut table = String::new();
    for (kind, engines) in engine_kinds() {
        for rate in [EASY, HEAVY] {
            let results = run_all_policies(engines, rate);
            for (name, result) in &results {
                writeln!(table, "{kind}, {rate}/s, {name}: {result}").unwrap();
            }
            let ours = &results[0].1;
            for (name, other) in &results[1..] {
                let (ours, other) = (ours.on_time(), other.on_time());
                assert!(
                    ours >= other - TOLERANCE,
                    "{kind}, {rate}/s, {name}: {other:.2} {ours:.2}"
                );
            }
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn an_easy_load_is_served_on_time_by_all_engines_that_can() {
    for (kind, engines) in engine_kinds().into_iter().filter(|(kind, _)| !kind.contains("slower")) {
        let result = run(engines, EASY, PlacementPolicy::Warm, true);
        assert!(result.on_time() > 0.97, "{kind}: {result}");
    }
}

#[test]
fn requests_beyond_capacity_are_refused_quickly_and_hardly_any_expire() {
    for (kind, engines) in engine_kinds() {
        let result = run(engines, HEAVY, PlacementPolicy::Warm, true);
        let unserved = result.turned_away() + result.expired();
        assert!(result.expired() <= unserved / 10.0, "{kind}: {result}");
        assert!(result.refused_within_ms() <= 50, "{kind}: {result}");
    }
}

#[test]
fn answers_are_on_time_during_a_sustained_overload() {
    for kind in ["usual", "4 slots", "all parts cached", "one at a third"] {
        let kinds = engine_kinds();
        let (_, engines) = kinds.iter().find(|(name, _)| *name == kind).unwrap();
        let result = run(*engines, HEAVY, PlacementPolicy::Warm, true);
        assert!(result.late() < result.on_time() / 6.0, "{kind}: {result}");
    }
}

#[test]
fn estimates_converge_within_dozens_of_answers() {
    for (kind, engines) in engine_kinds().into_iter().filter(|(kind, _)| !kind.contains("slower")) {
        let result = run(engines, EASY, PlacementPolicy::Warm, true);
        let errors = [(20, 10), (100, 40), (500, 100)];
        let errors = errors.map(|(until, count)| result.error_before(until, count));
        for (error, bound) in errors.into_iter().zip([0.8, 0.35, 0.35]) {
            assert!(error < bound, "{kind}: {errors:?}");
        }
    }
}
