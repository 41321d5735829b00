//! Discovery of the contents of engines' caches after all routers have restarted at once.
//!
//! Routers keep their knowledge of caches in memory. A single restarted router receives it from the
//! others within a second or two. If all of them have restarted, it is lost, and long prompt parts
//! that some engine still holds would be prefilled again at their homes. Each router then requests
//! listings of the caches of a few engines and sends them to the other routers. A listing delays
//! the engine's work and its size grows with the cache, so each engine is asked only once or twice,
//! and not by every router.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;
use papayamux_state::prompt::PromptPart;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::MIN_ANNOUNCED_TOKENS;

/// Age up to which a router counts as fresh: by then it has received most parts from the others, at
/// some thirty a second from each.
pub const FRESH_DURATION: Duration = Duration::from_secs(5);
/// Delay between the first list of servers and the survey, in which other routers are discovered:
/// one and a half rounds of reports. Until then long parts go to their homes.
pub const SURVEY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of parts kept of one listing, the largest first: an engine in use holds some ten
/// long parts that prompts share, among parts of single chats.
const MAX_PARTS: usize = 32;
/// Maximum number of engines that one router surveys. An isolated router surveys all engines of a
/// small fleet. In a large one, the parts of engines it did not survey go to their homes.
const MAX_SURVEYED_ENGINES: usize = 32;
/// Time for which a listing is announced: at four reports a second to twelve routers each, it
/// reaches 420 routers.
const ANNOUNCEMENT_DURATION: Duration = Duration::from_secs(10);
/// Number of listings in one report, of up to 400 bytes each.
const LISTINGS_PER_REPORT: usize = 2;

/// The parts that an engine listed as cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheListing {
    /// The engine.
    pub server: ServerId,
    /// The parts large enough to announce, the largest first.
    pub parts: Vec<PromptPart>,
}

impl CacheListing {
    /// Creates a listing, keeping only the largest parts.
    pub fn new(server: ServerId, listed: Vec<PromptPart>) -> Self {
        let mut parts = listed;
        parts.retain(|part| part.tokens.get() >= MIN_ANNOUNCED_TOKENS);
        parts.sort_unstable_by_key(|part| (std::cmp::Reverse(part.tokens), part.id));
        parts.truncate(MAX_PARTS);
        Self { server, parts }
    }
}

/// Returns the engines that the router at `own` surveys while the `others` survey theirs.
/// Rendezvous hashing assigns each engine to one router, so that routers need not coordinate.
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

/// Listings that are still announced to the other routers.
#[derive(Debug, Default)]
pub struct ListingUpdates {
    listings: VecDeque<(CacheListing, Instant)>,
}

impl ListingUpdates {
    /// Adds a listing that was received at `now`.
    pub fn add(&mut self, listing: CacheListing, now: Instant) {
        if !listing.parts.is_empty() {
            self.listings.push_back((listing, now));
        }
    }

    /// Returns the next listings to announce, in rotation.
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
