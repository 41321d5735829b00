//! The report of the routing measurement: one JSON line per policy and scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use papayamux_protocol::engine::TOKENS_PER_BLOCK;
use serde::Serialize;

use super::load_sampler::{LoadSample, SkewSummary};
use super::site::SiteProfile;
use super::tally::{RunTally, TurnOutcome, TurnRecord};
use super::workload::SURGING_ORGANISATION;

/// The raw results of a run.
#[derive(Debug, Clone, Default)]
pub struct RunResults {
    /// The results observed by callers.
    pub tally: RunTally,
    /// The load samples of the engines.
    pub samples: Vec<LoadSample>,
    /// Mean control bytes per second of a router.
    pub control_router: Option<f64>,
    /// Mean control bytes per second of an agent.
    pub control_agent: Option<f64>,
    /// The number of distinct prompt blocks in the whole run.
    pub distinct_blocks: usize,
    /// The number of requests still without an answer when the wait after the run's end expired.
    pub unfinished: usize,
    /// The machine's load average over the last minute.
    pub load_average: Option<f64>,
    /// The error that stopped the scenario's faults, if any.
    pub disturbance_error: Option<String>,
}

/// The parameters that identify a run.
#[derive(Debug, Clone, Serialize)]
pub struct RunLabel {
    /// The policy.
    pub policy: String,
    /// The scenario.
    pub scenario: String,
    /// The site.
    pub site: String,
    /// The seed.
    pub seed: u64,
    /// The factor applied to the rate of new chats.
    pub load: f64,
    /// The duration of the run in seconds, including warm-up.
    pub seconds: f64,
    /// The duration of the warm-up in seconds, which is excluded from the figures.
    pub warm_up_seconds: f64,
}

/// The figures of one run. Times are in milliseconds, shares between 0 and 1.
#[derive(Debug, Clone, Serialize)]
pub struct RoutingReport {
    /// The parameters that identify the run.
    #[serde(flatten)]
    pub label: RunLabel,
    /// The number of turns sent.
    pub requests: u64,
    /// The number of answered turns that continue a chat.
    pub returning: u64,
    /// The share of `returning` turns that found their chat's whole history in the cache.
    pub warm: f64,
    /// The share of the answered turns' prompt tokens that came from a cache.
    pub warm_prompt_token_share: f64,
    /// The upper bound of that share under the best placement.
    pub best_possible_share: f64,
    /// `warm_prompt_token_share` divided by `best_possible_share`.
    pub share_of_best: f64,
    /// The median over time of the load skew: the highest load divided by the mean load.
    pub skew_p50: f64,
    /// The 95th percentile of the load skew.
    pub skew_p95: f64,
    /// The highest load skew.
    pub skew_max: f64,
    /// The share of load samples in which an engine exceeded `c` times the mean,
    /// rounded up to whole requests.
    pub over_bound: f64,
    /// The maximum number of requests above the mean at any engine.
    pub most_above_mean: f64,
    /// The median load skew with the requests queued at the agents included in the load.
    pub demand_skew_p50: f64,
    /// The highest load skew with the requests queued at the agents included in the load.
    pub demand_skew_max: f64,
    /// The number of load samples that count.
    pub load_samples: usize,
    /// The number of load samples left out because the mean was below two requests.
    pub load_samples_left_out: usize,
    /// The mean number of running and waiting requests at an engine.
    pub mean_load: f64,
    /// The median time to first token.
    pub ttft_p50_ms: f64,
    /// The 95th percentile of the time to first token.
    pub ttft_p95_ms: f64,
    /// The 95th percentile of the time to first token, without the organisation that surges.
    pub ttft_p95_others_ms: f64,
    /// The 99th percentile of the latency of plain calls.
    pub turnstile_p99_ms: f64,
    /// The number of plain calls sent.
    pub turnstile_calls: u64,
    /// The number of plain calls not answered successfully.
    pub turnstile_failed: u64,
    /// The number of turns refused with the outcome "not run".
    pub refused: u64,
    /// The number of refused turns of organisations that do not surge.
    pub refused_others: u64,
    /// The number of turns that failed in any other way.
    pub failed: u64,
    /// The number of answers that were truncated in a way visible to callers.
    pub cut: u64,
    /// The number of answers that ended early but were presented as complete.
    pub short: u64,
    /// The number of answers with bytes that are not part of the expected answer.
    pub mixed: u64,
    /// The number of requests still without an answer when the wait after the run's end expired.
    pub unfinished: usize,
    /// The median time between two tokens of an answer, which is the actual duration of an engine
    /// step.
    pub token_gap_p50_ms: f64,
    /// Batch slot steps occupied by the turns under the best placement, divided by the slot steps
    /// available at the actual step duration.
    pub offered_load: f64,
    /// Prompt tokens that had to be prefilled, divided by the prefill capacity.
    pub computed_prefill: f64,
    /// Distinct blocks of all prompts, divided by the capacity of all caches in blocks.
    pub blocks_over_cache: f64,
    /// Mean control bytes per second of a router, if it counts them.
    pub control_bytes_per_s_router: Option<f64>,
    /// Mean control bytes per second of an agent, if it counts them.
    pub control_bytes_per_s_agent: Option<f64>,
    /// Control bytes of a router per turn or call.
    pub control_bytes_per_request: Option<f64>,
    /// The machine's load average over the last minute, at the end of the run.
    pub load_average: Option<f64>,
    /// The number of failures reported by routers over the whole run, by code and reason.
    pub told: BTreeMap<String, u64>,
    /// The error that stopped the scenario's faults, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub disturbance_error: Option<String>,
}

fn rounded(value: f64, digits: i32) -> f64 {
    let scale = 10f64.powi(digits);
    (value * scale).round() / scale
}

impl RoutingReport {
    /// Computes the figures of a run.
    pub fn new(label: RunLabel, site: &SiteProfile, run: &RunResults) -> Self {
        let warm_up = Duration::from_secs_f64(label.warm_up_seconds);
        let end = Duration::from_secs_f64(label.seconds);
        let tally = run.tally.after(warm_up);
        let skew = SkewSummary::of(&run.samples, warm_up, end);
        let demands: Vec<_> = run.samples.iter().map(LoadSample::of_demands).collect();
        let demand = SkewSummary::of(&demands, warm_up, end);
        let seconds = (end - warm_up).as_secs_f64();
        let offered = OfferedLoad::of(&tally, site, seconds);
        let best = |turn: &TurnRecord, _| (turn.best_blocks * TOKENS_PER_BLOCK) as u64;
        let warm_share = tally.token_share(|_, answer| answer.cached_tokens);
        let best_share = tally.token_share(best);
        let others = |turn: &TurnRecord| turn.organisation != SURGING_ORGANISATION;
        let refused_others = tally.turns.iter().filter(|turn| others(turn));
        let returning =
            || tally.turns.iter().filter(|turn| turn.is_returning() && turn.answered().is_some());
        let warm = returning().filter(|turn| turn.is_warm()).count();
        let requests = (tally.turns.len() + tally.calls.len()) as f64;
        let request_rate = requests / seconds / site.routers as f64;
        let cache = (site.engines * site.cache_blocks) as f64;
        Self {
            requests: tally.turns.len() as u64,
            returning: returning().count() as u64,
            warm: rounded(warm as f64 / returning().count().max(1) as f64, 4),
            warm_prompt_token_share: rounded(warm_share, 4),
            best_possible_share: rounded(best_share, 4),
            share_of_best: rounded(warm_share / best_share.max(f64::MIN_POSITIVE), 4),
            skew_p50: rounded(skew.p50, 2),
            skew_p95: rounded(skew.p95, 2),
            skew_max: rounded(skew.max, 2),
            over_bound: rounded(skew.over_bound, 3),
            most_above_mean: rounded(skew.most_above_mean, 1),
            demand_skew_p50: rounded(demand.p50, 2),
            demand_skew_max: rounded(demand.max, 2),
            load_samples: skew.samples,
            load_samples_left_out: skew.left_out,
            mean_load: rounded(skew.mean_load, 2),
            ttft_p50_ms: rounded(tally.first_token_ms(0.5, |_| true), 1),
            ttft_p95_ms: rounded(tally.first_token_ms(0.95, |_| true), 1),
            ttft_p95_others_ms: rounded(tally.first_token_ms(0.95, others), 1),
            turnstile_p99_ms: rounded(tally.call_ms(0.99), 1),
            turnstile_calls: tally.calls.len() as u64,
            turnstile_failed: tally.calls.iter().filter(|(_, latency)| latency.is_none()).count()
                as u64,
            refused: tally.count(TurnOutcome::Refused),
            refused_others: refused_others
                .filter(|turn| turn.outcome == TurnOutcome::Refused)
                .count() as u64,
            failed: tally.count(TurnOutcome::Failed),
            cut: tally.count(TurnOutcome::Cut),
            short: tally.count(TurnOutcome::Short),
            mixed: tally.count(TurnOutcome::Mixed),
            unfinished: run.unfinished,
            token_gap_p50_ms: rounded(tally.token_gap_ms(), 2),
            offered_load: rounded(offered.slots, 3),
            computed_prefill: rounded(offered.prefill * (1.0 - warm_share), 3),
            blocks_over_cache: rounded(run.distinct_blocks as f64 / cache, 2),
            control_bytes_per_s_router: run.control_router.map(|rate| rounded(rate, 0)),
            control_bytes_per_s_agent: run.control_agent.map(|rate| rounded(rate, 0)),
            control_bytes_per_request: run
                .control_router
                .map(|rate| rounded(rate / request_rate, 0)),
            load_average: run.load_average,
            told: tally.reported_failures.clone(),
            disturbance_error: run.disturbance_error.clone(),
            label,
        }
    }
}

/// The work offered by the turns, as shares of the engines' capacity.
struct OfferedLoad {
    /// The share of the batch slots.
    slots: f64,
    /// The share of the prefill capacity that all prompt tokens need if nothing is cached.
    prefill: f64,
}

impl OfferedLoad {
    fn of(tally: &RunTally, site: &SiteProfile, seconds: f64) -> Self {
        let step_seconds = tally.token_gap_ms() / 1_000.0;
        let steps = site.engines as f64 * seconds / step_seconds.max(f64::MIN_POSITIVE);
        let slot_steps = |turn: &TurnRecord| {
            let warm = (turn.best_blocks * TOKENS_PER_BLOCK) as u64;
            let cold = turn.prompt_tokens.saturating_sub(warm);
            turn.answer_tokens + 1 + cold.div_ceil(site.prefill)
        };
        let occupied: u64 = tally.turns.iter().map(slot_steps).sum();
        let tokens: u64 = tally.turns.iter().map(|turn| turn.prompt_tokens).sum();
        Self {
            slots: occupied as f64 / (steps * site.batch as f64),
            prefill: tokens as f64 / (steps * site.prefill as f64),
        }
    }
}
