//! The choice itself: the least expected time to the first token, within a bound on load.

use super::{PlacementCandidate, PlacementRequest};
use crate::server_evidence::ServerStanding;

/// Figures that placement weighs with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementTuning {
    /// The bound on a server's requests, as a multiple of the mean.
    pub load_factor: f64,
}

impl Default for PlacementTuning {
    fn default() -> Self {
        Self { load_factor: 2.0 }
    }
}

/// Prompt tokens that an engine reads in a millisecond. Engines of this size read 60 to 66; only
/// the ratio to the other costs matters.
const PREFILL_TOKENS_PER_MS: f64 = 60.0;
/// What one more request at an engine adds to the wait of the next: its part of each step, and
/// the chance that its own prompt comes first.
const ENGINE_MS_PER_REQUEST: f64 = 3.0;
/// What one request per slot adds at a plain service: about the time that a call takes there.
const PLAIN_MS_PER_FULL_SLOTS: f64 = 20.0;
/// What another failure domain costs: a round trip of one to two milliseconds, and traffic that
/// is paid for.
const FAR_MS: f64 = 1.5;
/// Part of the cost of reading a shared part that is taken off at the part's home server, so that
/// routers that have not placed it yet agree on where it goes.
const HOME_DISCOUNT: f64 = 0.3;
/// Part of the load bound that is used: other routers' newest requests are not known yet.
const BOUND_USED: f64 = 0.8;
/// Requests above the mean that never count as uneven.
const BOUND_SLACK: f64 = 2.0;

/// The index of the server that the request should go to; `None` where there is no server.
pub fn place(
    request: PlacementRequest,
    candidates: &[PlacementCandidate],
    tuning: PlacementTuning,
) -> Option<usize> {
    let standing = candidates.iter().map(|candidate| candidate.standing).min()?;
    let usable = || {
        candidates.iter().enumerate().filter(move |(_, candidate)| match standing {
            ServerStanding::Held => true,
            _ => candidate.standing != ServerStanding::Held,
        })
    };
    let count = usable().count() as f64;
    let requests: f64 = usable().map(|(_, one)| f64::from(one.load.requests)).sum();
    let bound = tuning.load_factor * BOUND_USED * (requests / count) + BOUND_SLACK;
    let within = usable().filter(|(_, one)| f64::from(one.load.requests) < bound);
    cheapest(request, within).or_else(|| cheapest(request, usable()))
}

fn cheapest<'a>(
    request: PlacementRequest,
    candidates: impl Iterator<Item = (usize, &'a PlacementCandidate)>,
) -> Option<usize> {
    let costs = candidates.map(|(index, candidate)| (index, cost_ms(request, candidate)));
    costs.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
}

/// The expected time to the first token at a server, in milliseconds.
fn cost_ms(request: PlacementRequest, candidate: &PlacementCandidate) -> f64 {
    let near = if candidate.near { 0.0 } else { FAR_MS };
    if request.prompt.get() == 0 {
        let slots = f64::from(candidate.slots.max(1));
        return near + f64::from(candidate.load.requests) / slots * PLAIN_MS_PER_FULL_SLOTS;
    }
    let cold = request.prompt.saturating_sub(candidate.warm).get() as f64;
    let backlog = candidate.load.backlog as f64;
    let read = (cold + backlog) / PREFILL_TOKENS_PER_MS;
    let home = match candidate.rank {
        0 if candidate.warm < request.shared => {
            request.shared.get() as f64 / PREFILL_TOKENS_PER_MS * HOME_DISCOUNT
        }
        _ => 0.0,
    };
    let crowd = f64::from(candidate.load.requests) * ENGINE_MS_PER_REQUEST;
    near + read + crowd - home
}
