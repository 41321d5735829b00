//! Search of a starting router for a router that hands it a complete view of the source.
//!
//! A router that has just started knows only the seeds. All routers may have started together, so that
//! nobody has a view yet: then the seeds read the source, and everyone else receives the view from them or
//! from a router that has received it.

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use super::reader_order::pair_hash;

/// Duration after which a seed reads the source. The other seeds answer within a few milliseconds if they
/// have a view.
const SEED_SEARCH_TIME: Duration = Duration::from_millis(150);
/// Duration after which any other router reads the source. Within it a view reaches all of a thousand routers
/// that start together; if they read at once, the source's link would take longer.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(2_000);
/// Duration after which a router reads the source if no other one has taken a request. Routers that start
/// together do so within 300 ms.
const UNANSWERED_SEARCH_TIME: Duration = Duration::from_millis(450);
/// Pause before a router that had no view is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum duration for which a request is held by a router that expects to receive a view itself.
pub const HOLD_TIME: Duration = Duration::from_millis(200);

/// The next step of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask this router, and give up at the latest after this time.
    Ask(IpAddr, Duration),
    /// Wait, as all known routers were asked a moment ago.
    Wait(Duration),
    /// Read the source.
    ReadSource,
}

/// Search for a view, from the start of a router.
#[derive(Debug)]
pub struct ViewSearch {
    own: IpAddr,
    is_seed: bool,
    seeds: Vec<IpAddr>,
    started: Instant,
    referred: VecDeque<IpAddr>,
    asked: HashMap<IpAddr, Instant>,
    /// `true` if some router has taken a request.
    has_contact: bool,
}

impl ViewSearch {
    /// Begins the search of the router at `own`, which initially knows `seeds`.
    pub fn new(own: IpAddr, seeds: &[IpAddr], now: Instant) -> Self {
        let is_seed = seeds.contains(&own);
        let mut seeds: Vec<_> = seeds.iter().copied().filter(|seed| *seed != own).collect();
        // Each router asks the seeds in another order, so that they share the load.
        seeds.sort_unstable_by_key(|seed| pair_hash(&own, seed));
        Self {
            own,
            is_seed,
            seeds,
            started: now,
            referred: VecDeque::new(),
            asked: HashMap::new(),
            has_contact: false,
        }
    }

    /// Returns the next step. `known` are the routers known by now besides the seeds.
    pub fn next_step(&mut self, known: &[IpAddr], now: Instant) -> SearchStep {
        let limit = match (self.is_seed, self.has_contact) {
            (true, _) => SEED_SEARCH_TIME,
            (false, true) => MAX_SEARCH_TIME,
            (false, false) => UNANSWERED_SEARCH_TIME,
        };
        let elapsed = now.saturating_duration_since(self.started);
        if elapsed >= limit || (self.seeds.is_empty() && known.is_empty()) {
            return SearchStep::ReadSource;
        }
        // A router that holds the request shows that it is there.
        let max_limit = if self.is_seed { SEED_SEARCH_TIME } else { MAX_SEARCH_TIME };
        let left = max_limit.saturating_sub(elapsed);
        match self.next_candidate(known, now) {
            Some(router) => {
                self.asked.insert(router, now);
                SearchStep::Ask(router, left)
            }
            None => SearchStep::Wait(RETRY_PAUSE.min(limit.saturating_sub(elapsed))),
        }
    }

    fn next_candidate(&mut self, known: &[IpAddr], now: Instant) -> Option<IpAddr> {
        let own = self.own;
        if let Some(referred) = self.referred.pop_front().filter(|referred| *referred != own) {
            return Some(referred);
        }
        let asked = |router: &IpAddr| self.asked.get(router).copied();
        let may_be_asked = |router: &IpAddr| {
            let is_recent = |asked| now.saturating_duration_since(asked) < RETRY_PAUSE;
            *router != own && !asked(router).is_some_and(is_recent)
        };
        // The one asked least recently comes first, so that an unreachable seed doesn't hide the others.
        let candidates = self.seeds.iter().chain(known).copied().filter(may_be_asked);
        candidates.min_by_key(|router| {
            (asked(router), !self.seeds.contains(router), pair_hash(&own, router))
        })
    }

    /// Records that a router that has no capacity left referred this one to others, which have received
    /// the view from it.
    pub fn record_referral(&mut self, routers: &[IpAddr]) {
        self.has_contact = true;
        self.referred.extend(routers);
    }

    /// Records that a router has taken a request, and sent no view.
    pub fn record_contact(&mut self) {
        self.has_contact = true;
    }
}
