//! The placement decision: the lowest expected time to the first token, within a bound on load.

use papayamux_state::quantities::TokenCount;

use super::{Placement, PlacementCandidate, PlacementPolicy, PlacementRequest};
use crate::server_evidence::ServerStanding;

/// Settings of placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementTuning {
    /// Bound on the requests of a server, as a multiple of the mean.
    pub load_factor: f64,
    /// Policy that chooses servers for prompts.
    pub policy: PlacementPolicy,
}

impl Default for PlacementTuning {
    fn default() -> Self {
        Self { load_factor: 2.0, policy: PlacementPolicy::Warm }
    }
}

/// Weight of a token that has to be prefilled, relative to its own prefill time: it also delays the
/// tokens of all concurrent requests and evicts other parts from the cache.
const COLD_WEIGHT: f64 = 4.0;
/// Weight of a transfer, relative to its own time: the copy evicts other parts from a second cache,
/// and copies made for small differences in load evict one another.
const COPY_WEIGHT: f64 = 8.0;
/// Cost of an answer delayed by its link: less than that of a failed answer, and more than moving a
/// long prompt to another engine.
const LATE_ANSWER_COST_MS: f64 = 250.0;
/// Messages of a plain call that the link may delay: connection, request and answer.
const MESSAGES_PER_PLAIN_CALL: f64 = 3.0;
/// Cost of an answer that is certain to fail: more than any wait that is still on time.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Fraction of its group's part that a home is assumed to hold if this router has not placed the
/// part there. Other routers have placed it there, unless the home is new.
const HOME_CACHED_FRACTION: f64 = 0.95;
/// Fraction of the load bound that is used, because the newest requests of other routers are not
/// known yet.
const USED_BOUND_FRACTION: f64 = 0.8;
/// Number of requests added to the load bound, so that a server may have a few even if the mean is
/// close to zero.
const BOUND_SLACK: f64 = 2.0;

/// Chooses the server for a request; `None` if no server accepts requests.
pub fn place(
    request: PlacementRequest,
    candidates: &[PlacementCandidate],
    tuning: PlacementTuning,
) -> Option<Placement> {
    let usable = usable_candidates(candidates);
    let bound = load_bound(candidates, tuning.load_factor);
    if request.prompt.get() > 0 && tuning.policy != PlacementPolicy::Warm {
        let server = baseline(request, &usable, bound, tuning.policy)?;
        return Some(Placement {
            server,
            fetch_from: None,
            cold: request.prompt,
            held: TokenCount::default(),
            known: TokenCount::default(),
            is_home: candidates[server].rank == 0,
            assumed: TokenCount::default(),
        });
    }
    let source = warmest(candidates, |candidate| assumed_tokens(request, candidate));
    // A home that is only assumed to hold the prompt may lack even the prefix that other engines
    // are known to hold. A failed copy costs milliseconds, while prefilling the prefix again delays
    // other requests.
    let known_source = warmest(candidates, |candidate| candidate.warm);
    // A part without a known holder goes to its home, which holds it afterwards. If it were
    // prefilled elsewhere, the next router without that knowledge would again expect it at the
    // home.
    let elsewhere = known_source.map(|(_, tokens)| tokens);
    let server = cheapest(request, &usable, bound, elsewhere)?;
    let known = candidates[server].warm;
    // A part that no server holds can't be copied and has to be prefilled by the chosen server.
    let source = source.filter(|_| !request.nobody_holds);
    let mut sources = [source, known_source].into_iter().flatten();
    let fetch = sources.find(|(index, tokens)| {
        *index != server && *tokens > known && request.transfer_tokens_per_ms.is_some()
    });
    let held = match request.nobody_holds {
        true => known,
        false => assumed_tokens(request, &candidates[server]),
    };
    let after_copy = fetch.map_or(held, |(_, tokens)| tokens.max(held));
    Some(Placement {
        server,
        fetch_from: fetch.map(|(index, _)| index),
        cold: request.prompt.saturating_sub(after_copy),
        held: known,
        known: known_source.map_or(TokenCount::default(), |(_, tokens)| tokens),
        is_home: candidates[server].rank == 0,
        assumed: after_copy
            .saturating_sub(fetch.map_or(known, |(index, _)| candidates[index].warm.max(known))),
    })
}

/// Returns whether a server that was chosen elsewhere passes the checks of [`place`]: it accepts
/// requests, is not ejected unless all are, and is within the load bound.
pub fn is_placeable(
    candidates: &[PlacementCandidate],
    server: usize,
    tuning: PlacementTuning,
) -> bool {
    let bound = load_bound(candidates, tuning.load_factor);
    usable_candidates(candidates)
        .into_iter()
        .any(|(index, candidate)| index == server && f64::from(candidate.load.requests) < bound)
}

type IndexedCandidate<'a> = (usize, &'a PlacementCandidate);

/// Returns the candidates that accept requests and are not ejected. If all of them are ejected,
/// returns all that accept requests.
fn usable_candidates(candidates: &[PlacementCandidate]) -> Vec<IndexedCandidate<'_>> {
    let mut usable: Vec<_> =
        candidates.iter().enumerate().filter(|(_, candidate)| candidate.accepts).collect();
    if usable.iter().any(|(_, candidate)| candidate.standing != ServerStanding::Ejected) {
        usable.retain(|(_, candidate)| candidate.standing != ServerStanding::Ejected);
    }
    usable
}

/// Returns the number of requests from which a server is passed over while others have fewer. The
/// mean includes all servers in service that are not ejected. If some of them accept nothing, as in
/// an evacuated failure domain, the others carry more, and the least loaded of them take the
/// excess.
fn load_bound(candidates: &[PlacementCandidate], factor: f64) -> f64 {
    let in_service = |candidate: &&PlacementCandidate| {
        candidate.serves && candidate.standing != ServerStanding::Ejected
    };
    let counted: Vec<_> = candidates.iter().filter(in_service).collect();
    let requests: f64 = counted.iter().map(|candidate| f64::from(candidate.load.requests)).sum();
    let mean = requests / counted.len().max(1) as f64;
    factor * USED_BOUND_FRACTION * mean + BOUND_SLACK
}

/// Returns the server with the lowest cost, preferring servers within the load bound. `elsewhere`
/// is the number of prompt tokens that a server is known to hold, and from which they can be
/// copied.
fn cheapest(
    request: PlacementRequest,
    usable: &[IndexedCandidate<'_>],
    bound: f64,
    elsewhere: Option<TokenCount>,
) -> Option<usize> {
    let costs = usable.iter().map(|(index, candidate)| {
        let over = f64::from(candidate.load.requests) >= bound;
        (*index, over, cost_ms(request, candidate, elsewhere))
    });
    let least =
        costs.min_by(|left, right| left.1.cmp(&right.1).then_with(|| left.2.total_cmp(&right.2)));
    least.map(|(index, ..)| index)
}

/// Chooses a server by one of the policies that serve as baselines for comparison.
fn baseline(
    request: PlacementRequest,
    usable: &[IndexedCandidate<'_>],
    bound: f64,
    policy: PlacementPolicy,
) -> Option<usize> {
    let sampled = |sample: f64| usable.get((sample * usable.len() as f64) as usize).copied();
    let chosen = match policy {
        PlacementPolicy::Random => sampled(request.sample),
        PlacementPolicy::TwoChoices => {
            // The second random number is made of the digits after the first three.
            let pair = [sampled(request.sample), sampled((request.sample * 1_000.0).fract())];
            pair.into_iter().flatten().min_by_key(|(_, candidate)| candidate.load.requests)
        }
        PlacementPolicy::BoundedHash => {
            let within =
                usable.iter().filter(|(_, candidate)| f64::from(candidate.load.requests) < bound);
            within.min_by_key(|(_, candidate)| candidate.rank).or(usable.first()).copied()
        }
        PlacementPolicy::Warm | PlacementPolicy::LeastWait => {
            let uncached_cost = |candidate: &PlacementCandidate| {
                let uncached =
                    PlacementCandidate { warm: TokenCount::default(), rank: 1, ..*candidate };
                cost_ms(request, &uncached, None)
            };
            usable
                .iter()
                .min_by(|left, right| uncached_cost(left.1).total_cmp(&uncached_cost(right.1)))
                .copied()
        }
    };
    chosen.map(|(index, _)| index)
}

/// Returns the server in good standing that holds most of the prompt according to `held`, and the
/// number of tokens it holds; `None` if no such server holds any.
fn warmest(
    candidates: &[PlacementCandidate],
    held: impl Fn(&PlacementCandidate) -> TokenCount,
) -> Option<(usize, TokenCount)> {
    let good = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.standing == ServerStanding::Good);
    let held = good.map(|(index, candidate)| (index, held(candidate)));
    held.max_by_key(|(_, tokens)| *tokens).filter(|(_, tokens)| tokens.get() > 0)
}

/// Returns the number of prompt tokens that a server is known or assumed to hold.
fn assumed_tokens(request: PlacementRequest, candidate: &PlacementCandidate) -> TokenCount {
    let at_home = match candidate.rank {
        0 => TokenCount::new((request.shared.get() as f64 * HOME_CACHED_FRACTION) as u64),
        _ => TokenCount::default(),
    };
    candidate.warm.max(at_home)
}

/// Returns the expected time to the first token at a server plus the cost that the request imposes
/// on other requests there, in milliseconds.
fn cost_ms(
    request: PlacementRequest,
    candidate: &PlacementCandidate,
    elsewhere: Option<TokenCount>,
) -> f64 {
    let plain = request.prompt.get() == 0;
    let speed = &candidate.speed;
    let messages = MESSAGES_PER_PLAIN_CALL + speed.events(request.answer);
    let late_probability = 1.0 - (1.0 - candidate.excess_delay_rate).powf(messages);
    let risk = candidate.round_trip_ms
        + candidate.excess_failure_rate * FAILURE_COST_MS
        + late_probability * LATE_ANSWER_COST_MS;
    if plain {
        let slots = f64::from(candidate.slots.max(1));
        let wait = f64::from(candidate.load.requests) / slots * speed.call_ms;
        return risk + wait + speed.call_delay_ms();
    }
    let held = assumed_tokens(request, candidate);
    let lacking = elsewhere.unwrap_or_default().saturating_sub(held).get() as f64;
    let (transfer, fetched) = match request.transfer_tokens_per_ms {
        Some(rate) if lacking > 0.0 => (speed.copy_ms + lacking / rate * COPY_WEIGHT, lacking),
        _ => (0.0, 0.0),
    };
    let cold = request.prompt.saturating_sub(held).get() as f64 - fetched;
    let backlog = candidate.load.backlog as f64;
    let prefill = (cold + backlog) / speed.prefill_tokens_per_ms;
    let slot_wait = speed.slot_wait(candidate.slots, candidate.load.requests, request.answer);
    let waiting = f64::from(candidate.waiting) * speed.queue_delay_ms();
    let concurrency_cost = f64::from(candidate.load.requests) * speed.concurrency_delay_ms()
        + waiting.max(slot_wait.as_secs_f64() * 1_000.0);
    // Tokens copied into a nearly full cache evict as many others, which have to be prefilled again
    // and delay other requests like any prefill.
    let eviction = if candidate.nearly_full {
        lacking / speed.prefill_tokens_per_ms * COLD_WEIGHT
    } else {
        0.0
    };
    let disturbance = cold / speed.prefill_tokens_per_ms * (COLD_WEIGHT - 1.0);
    risk + eviction + prefill + disturbance + transfer + concurrency_cost
}
