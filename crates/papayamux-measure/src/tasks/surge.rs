//! `papayamux-measure surge`.

use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use papayamux_coordination::placement::PlacementPolicy;

use super::{MeasureTask, TaskError};
use crate::surge::{run_surge, EngineKind, LoadPattern, SurgeOptions};

/// The policies compared by default.
const POLICIES: [PlacementPolicy; 5] = [
    PlacementPolicy::Warm,
    PlacementPolicy::BoundedHash,
    PlacementPolicy::LeastWait,
    PlacementPolicy::TwoChoices,
    PlacementPolicy::Random,
];

/// The load patterns simulated by default.
const PATTERNS: [LoadPattern; 5] = [
    LoadPattern::Calm,
    LoadPattern::SurgeOfAll,
    LoadPattern::SurgeOfOne,
    LoadPattern::HotPart,
    LoadPattern::EnginesGone,
];

pub(super) const TASK: MeasureTask = MeasureTask {
    name: "surge",
    purpose: "placement policies on the platform's path under calm load and surges",
    declare,
    run: |matches| run_surge(&surge_options(matches)?),
};

fn declare(options: &mut Options) {
    options.optopt("", "seed", "draws the requests (1)", "NUMBER");
    options.optopt("", "seconds", "how long requests come (8)", "SECONDS");
    options.optmulti("", "policy", "a policy (all)", "NAME");
    options.optmulti("", "pattern", "a load pattern (all)", "NAME");
    options.optmulti("", "kind", "a kind of engines (usual)", "NAME");
    options.optopt("", "routers", "router processes (3)", "COUNT");
    options.optopt("", "engines", "engines (6)", "COUNT");
}

fn surge_options(matches: &Matches) -> Result<SurgeOptions, TaskError> {
    let policies: Vec<PlacementPolicy> = named(matches, "policy")?;
    let patterns: Vec<LoadPattern> = named(matches, "pattern")?;
    let kinds: Vec<EngineKind> = named(matches, "kind")?;
    let length = matches.opt_get("seconds")?.map(Duration::from_secs);
    Ok(SurgeOptions::builder()
        .maybe_seed(matches.opt_get("seed")?)
        .maybe_length(length)
        .policies(if policies.is_empty() { POLICIES.to_vec() } else { policies })
        .patterns(if patterns.is_empty() { PATTERNS.to_vec() } else { patterns })
        .kinds(if kinds.is_empty() { vec![EngineKind::Usual] } else { kinds })
        .maybe_routers(matches.opt_get("routers")?)
        .maybe_engines(matches.opt_get("engines")?)
        .build())
}

/// Parses all values of a repeatable option.
fn named<T>(matches: &Matches, option: &str) -> Result<Vec<T>, TaskError>
where
    T: FromStr<Err: std::error::Error + 'static>,
{
    matches.opt_strs(option).iter().map(|name| Ok(name.parse()?)).collect()
}
