//! The choice itself: the least expected time to the first token, within a bound on load.

use papayamux_state::quantities::TokenCount;

use super::{Placement, PlacementCandidate, PlacementPolicy, PlacementRequest};
use crate::server_evidence::ServerStanding;

/// Figures that placement weighs with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementTuning {
    /// The bound on a server's requests, as a multiple of the mean.
    pub load_factor: f64,
    /// How servers for prompts are chosen.
    pub policy: PlacementPolicy,
}

impl Default for PlacementTuning {
    fn default() -> Self {
        Self { load_factor: 2.0, policy: PlacementPolicy::Warm }
    }
}

/// How much more a token that has to be read counts than its own time: it also delays the tokens
/// of all requests beside it, and takes the place of other parts in the cache.
const COLD_WEIGHT: f64 = 4.0;
/// How much more a transfer counts than its own time: what is copied takes the place of other parts in
/// a second cache, and copies that follow small differences in load push each other out.
const COPY_WEIGHT: f64 = 8.0;
/// What an answer that is late for its link costs: less than one that fails, and more than to take a
/// long prompt over from another engine.
const LATE_MS: f64 = 250.0;
/// Messages of a plain call, each of which may be held up: connection, request and answer.
const PLAIN_MESSAGES: f64 = 3.0;
/// What an answer that fails for certain costs: more than any wait that still is on time.
const FAILURE_MS: f64 = 1_500.0;
/// How far a home is believed to hold its group's part when this router has not placed it there:
/// the other routers have, unless the home is new.
const HOME_BELIEF: f64 = 0.95;
/// Part of the load bound that is used: other routers' newest requests are not known yet.
const BOUND_USED: f64 = 0.8;
/// Requests above the mean that never count as uneven.
const BOUND_SLACK: f64 = 2.0;

/// Where a request goes; `None` where there is no server.
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
            guessed: TokenCount::default(),
        });
    }
    let source = warmest(candidates, |one| believed_tokens(request, one));
    // A home that is only believed to hold the prompt may lack even its beginning, which other
    // engines are known to hold. To ask in vain costs milliseconds, to read it again slows others.
    let known_source = warmest(candidates, |one| one.warm);
    // What nobody is known to hold is asked of its home, which then holds it, if it did not before.
    // Read elsewhere, it would be looked for at the home again by the next router that doesn't know.
    let elsewhere = known_source.map(|(_, tokens)| tokens);
    let server = cheapest(request, &usable, bound, elsewhere)?;
    let known = candidates[server].warm;
    // What nobody holds can't be copied, and has to be read where it goes.
    let source = source.filter(|_| !request.nobody_holds);
    let mut sources = [source, known_source].into_iter().flatten();
    let fetch = sources.find(|(index, tokens)| {
        *index != server && *tokens > known && request.transfer_tokens_per_ms.is_some()
    });
    let held = match request.nobody_holds {
        true => known,
        false => believed_tokens(request, &candidates[server]),
    };
    let after_copy = fetch.map_or(held, |(_, tokens)| tokens.max(held));
    Some(Placement {
        server,
        fetch_from: fetch.map(|(index, _)| index),
        cold: request.prompt.saturating_sub(after_copy),
        held: known,
        known: known_source.map_or(TokenCount::default(), |(_, tokens)| tokens),
        is_home: candidates[server].rank == 0,
        guessed: after_copy
            .saturating_sub(fetch.map_or(known, |(index, _)| candidates[index].warm.max(known))),
    })
}

type IndexedCandidate<'a> = (usize, &'a PlacementCandidate);

/// The candidates that take requests and against which nothing speaks; where something speaks
/// against all of them, all that take requests.
fn usable_candidates(candidates: &[PlacementCandidate]) -> Vec<IndexedCandidate<'_>> {
    let mut usable: Vec<_> = candidates.iter().enumerate().filter(|(_, one)| one.accepts).collect();
    if usable.iter().any(|(_, one)| one.standing != ServerStanding::Ejected) {
        usable.retain(|(_, one)| one.standing != ServerStanding::Ejected);
    }
    usable
}

/// Requests at which a server is no longer chosen while others have fewer. The mean is that of all servers
/// that are sound: where some may take nothing, as in an evacuated failure domain, the others bear more, and
/// those among them that have least have to bear it.
fn load_bound(candidates: &[PlacementCandidate], factor: f64) -> f64 {
    let sound = |one: &&PlacementCandidate| one.serves && one.standing != ServerStanding::Ejected;
    let counted: Vec<_> = candidates.iter().filter(sound).collect();
    let requests: f64 = counted.iter().map(|one| f64::from(one.load.requests)).sum();
    let mean = requests / counted.len().max(1) as f64;
    factor * BOUND_USED * mean + BOUND_SLACK
}

/// The server with the least cost, those within the load bound first.
fn cheapest(
    request: PlacementRequest,
    usable: &[IndexedCandidate<'_>],
    bound: f64,
    elsewhere: Option<TokenCount>,
) -> Option<usize> {
    let costs = usable.iter().map(|(index, one)| {
        let over = f64::from(one.load.requests) >= bound;
        (*index, over, cost_ms(request, one, elsewhere))
    });
    let least =
        costs.min_by(|left, right| left.1.cmp(&right.1).then_with(|| left.2.total_cmp(&right.2)));
    least.map(|(index, ..)| index)
}

/// The choice of a policy that ours is measured against.
fn baseline(
    request: PlacementRequest,
    usable: &[IndexedCandidate<'_>],
    bound: f64,
    policy: PlacementPolicy,
) -> Option<usize> {
    let drawn = |draw: f64| usable.get((draw * usable.len() as f64) as usize).copied();
    let chosen = match policy {
        PlacementPolicy::Random => drawn(request.draw),
        PlacementPolicy::TwoChoices => {
            // The digits of the draw behind its first three serve as the second draw.
            let pair = [drawn(request.draw), drawn((request.draw * 1_000.0).fract())];
            pair.into_iter().flatten().min_by_key(|(_, one)| one.load.requests)
        }
        PlacementPolicy::BoundedHash => {
            let within = usable.iter().filter(|(_, one)| f64::from(one.load.requests) < bound);
            within.min_by_key(|(_, one)| one.rank).or(usable.first()).copied()
        }
        PlacementPolicy::Warm | PlacementPolicy::LeastWait => {
            let blind = |one: &PlacementCandidate| {
                let blind = PlacementCandidate { warm: TokenCount::default(), rank: 1, ..*one };
                cost_ms(request, &blind, None)
            };
            usable.iter().min_by(|left, right| blind(left.1).total_cmp(&blind(right.1))).copied()
        }
    };
    chosen.map(|(index, _)| index)
}

/// The server that holds most of the prompt by the count of `held`, and how much.
fn warmest(
    candidates: &[PlacementCandidate],
    held: impl Fn(&PlacementCandidate) -> TokenCount,
) -> Option<(usize, TokenCount)> {
    let sound =
        candidates.iter().enumerate().filter(|(_, one)| one.standing == ServerStanding::Good);
    let held = sound.map(|(index, one)| (index, held(one)));
    held.max_by_key(|(_, tokens)| *tokens).filter(|(_, tokens)| tokens.get() > 0)
}

/// Tokens of the prompt that a server is believed to hold.
fn believed_tokens(request: PlacementRequest, candidate: &PlacementCandidate) -> TokenCount {
    let at_home = match candidate.rank {
        0 => TokenCount::new((request.shared.get() as f64 * HOME_BELIEF) as u64),
        _ => TokenCount::default(),
    };
    candidate.warm.max(at_home)
}

/// The expected time to the first token at a server, with what the request costs others there,
/// in milliseconds.
fn cost_ms(
    request: PlacementRequest,
    candidate: &PlacementCandidate,
    elsewhere: Option<TokenCount>,
) -> f64 {
    let plain = request.prompt.get() == 0;
    let speed = &candidate.speed;
    let messages = PLAIN_MESSAGES + speed.events(request.answer);
    let late = 1.0 - (1.0 - candidate.held_up).powf(messages);
    let risk = candidate.round_trip_ms + candidate.failing * FAILURE_MS + late * LATE_MS;
    if plain {
        let slots = f64::from(candidate.slots.max(1));
        return risk + f64::from(candidate.load.requests) / slots * speed.call_ms;
    }
    let held = believed_tokens(request, candidate);
    let lacking = elsewhere.unwrap_or_default().saturating_sub(held).get() as f64;
    let (transfer, fetched) = match request.transfer_tokens_per_ms {
        Some(rate) if lacking > 0.0 => (speed.copy_ms + lacking / rate * COPY_WEIGHT, lacking),
        _ => (0.0, 0.0),
    };
    let cold = request.prompt.saturating_sub(held).get() as f64 - fetched;
    let backlog = candidate.load.backlog as f64;
    let read = (cold + backlog) / speed.read_tokens_per_ms;
    let slot_wait = speed.slot_wait(candidate.slots, candidate.load.requests, request.answer);
    let waiting = f64::from(candidate.waiting) * speed.waiting_ms();
    let crowd = f64::from(candidate.load.requests) * speed.crowd_ms()
        + waiting.max(slot_wait.as_secs_f64() * 1_000.0);
    // What a nearly full cache takes in evicts as much, which will be read again and delays others like any
    // reading.
    let eviction =
        if candidate.nearly_full { lacking / speed.read_tokens_per_ms * COLD_WEIGHT } else { 0.0 };
    let disturbance = cold / speed.read_tokens_per_ms * (COLD_WEIGHT - 1.0);
    risk + eviction + read + disturbance + transfer + crowd
}
