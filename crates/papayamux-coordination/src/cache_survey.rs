//! Finds out what engines' caches hold after all routers were lost at once.
//!
//! What routers know of caches is in their memory. One that restarts is told by the others within a
//! second or two. Where all have restarted, nobody knows, and long parts of prompts that some engine
//! still holds would be read again at their homes. Then each router asks a few engines for a list of
//! their caches and tells the others. A list delays the engine's work and grows with its cache, so
//! that each engine is asked once or twice and not by every router.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;
use papayamux_state::prompt::PromptPart;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::MIN_ANNOUNCED_TOKENS;

/// Time from its start for which a router counts as fresh: until the others have told it of most
/// parts, at some thirty a second each.
pub const FRESH_DURATION: Duration = Duration::from_secs(5);
/// Pause between the first list of servers and the survey, in which other routers are heard: one
/// round of reports and a half. Until then long parts go to their homes.
pub const SURVEY_DELAY: Duration = Duration::from_millis(400);
/// Parts kept of one list, the largest first: an engine in use holds some ten long parts that prompts
/// share, among parts of single chats.
const MAX_PARTS: usize = 32;
/// Engines that one router asks at most. A router that hears nobody asks for all of a small fleet; of
/// a large one, what is left unknown goes to its homes.
const MAX_SURVEYED_ENGINES: usize = 32;
/// Time for which the others are told of a list: at four reports a second to twelve routers each, 420
/// routers are reached.
const ANNOUNCEMENT_DURATION: Duration = Duration::from_secs(10);
/// Lists in one report, of up to 400 bytes each.
const LISTINGS_PER_REPORT: usize = 2;

/// What an engine listed of its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheListing {
    /// The engine.
    pub server: ServerId,
    /// The parts worth knowing, the largest first.
    pub parts: Vec<PromptPart>,
}

impl CacheListing {
    /// What is worth knowing of a list.
    pub fn new(server: ServerId, listed: Vec<PromptPart>) -> Self {
        let mut parts = listed;
        parts.retain(|part| part.tokens.get() >= MIN_ANNOUNCED_TOKENS);
        parts.sort_unstable_by_key(|part| (std::cmp::Reverse(part.tokens), part.id));
        parts.truncate(MAX_PARTS);
        Self { server, parts }
    }
}

/// The engines that the router at `own` asks, where `others` ask theirs: each engine belongs to one
/// router by rendezvous hashing, so that no word between routers is needed.
pub fn survey_share<'a>(
    own: IpAddr,
    others: &[IpAddr],
    engines: impl IntoIterator<Item = &'a ServerId>,
) -> Vec<ServerId> {
    let belongs = |engine: &&ServerId| {
        let seed = xxh3_64_with_seed(engine.as_str().as_bytes(), 0);
        let weight = |router: &IpAddr| match router {
            IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), seed),
            IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), seed),
        };
        others.iter().all(|other| weight(other) < weight(&own))
    };
    engines.into_iter().filter(belongs).take(MAX_SURVEYED_ENGINES).cloned().collect()
}

/// Lists that the others are still told of.
#[derive(Debug, Default)]
pub struct ListingUpdates {
    listings: VecDeque<(CacheListing, Instant)>,
}

impl ListingUpdates {
    /// Adds a list that was got at `now`.
    pub fn add(&mut self, listing: CacheListing, now: Instant) {
        if !listing.parts.is_empty() {
            self.listings.push_back((listing, now));
        }
    }

    /// What to tell next, in turn.
    pub fn next(&mut self, now: Instant) -> Vec<CacheListing> {
        self.listings
            .retain(|(_, got)| now.saturating_duration_since(*got) < ANNOUNCEMENT_DURATION);
        let count = LISTINGS_PER_REPORT.min(self.listings.len());
        let next: Vec<_> =
            self.listings.iter().take(count).map(|(listing, _)| listing.clone()).collect();
        self.listings.rotate_left(count);
        next
    }
}
