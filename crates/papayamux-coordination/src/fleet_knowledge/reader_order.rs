//! Selects the routers that read the source, and the router that each of the others follows.

use std::net::IpAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum number of readers. One may be paused and one partitioned while the third keeps reading.
const MAX_READERS: usize = 3;
/// Number of readers in the smallest fleets. One may be lost.
const MIN_READERS: usize = 2;
/// Number of routers per reader. For fewer, an additional reader isn't worth its calls to the source.
const ROUTERS_PER_READER: usize = 8;
/// Number of routers that follow one. A tree of three readers then reaches 51 routers in one hop, 819 in
/// two and 13,000 in three, and no router sends more than 16 reports of about 90 bytes per read, or 5 KB/s.
pub(super) const FANOUT: usize = 16;
/// Minimum interval between two reads of one reader. A server's departure is noticed after half of it on
/// average, 150 ms.
const MIN_READING_INTERVAL: Duration = Duration::from_millis(300);

/// Returns how many of `routers` routers read the source.
pub fn reader_count(routers: usize) -> usize {
    (routers / ROUTERS_PER_READER).clamp(MIN_READERS, MAX_READERS).min(routers.max(1))
}

/// Returns the interval between two reads of one reader, given the interval of a router that reads only
/// for itself. It is long enough that a small fleet makes no more calls than if every router read.
pub fn reading_interval(routers: usize, solo_interval: Duration) -> Duration {
    let reading_fraction = reader_count(routers) as f64 / routers.max(1) as f64;
    solo_interval.mul_f64(reading_fraction).max(MIN_READING_INTERVAL).min(solo_interval)
}

/// The routers in an order that is the same for all who know the same routers. It is defined by a hash of
/// the addresses, which spreads readers over failure domains and instances without coordination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderOrder {
    routers: Vec<IpAddr>,
}

impl ReaderOrder {
    /// Creates the order of `routers`.
    pub fn new(routers: impl IntoIterator<Item = IpAddr>) -> Self {
        let mut routers: Vec<_> = routers.into_iter().collect();
        routers.sort_unstable_by_key(|router| (address_hash(router), *router));
        routers.dedup();
        Self { routers }
    }

    /// Returns the order without the routers for which `is_excluded` returns `true`.
    pub fn without(&self, is_excluded: impl Fn(&IpAddr) -> bool) -> Self {
        let routers = self.routers.iter().copied();
        Self { routers: routers.filter(|router| !is_excluded(router)).collect() }
    }

    fn index_of(&self, router: IpAddr) -> Option<usize> {
        let key = (address_hash(&router), router);
        self.routers.binary_search_by_key(&key, |other| (address_hash(other), *other)).ok()
    }

    /// Returns the router that `own` follows, or `None` if `own` is a reader. A router only follows one
    /// that precedes it, so that no two routers that agree on the order follow each other.
    pub fn followed_by(&self, own: IpAddr) -> Option<IpAddr> {
        let index = self.index_of(own)?;
        let readers = reader_count(self.routers.len());
        let follower_index = index.checked_sub(readers)?;
        self.routers.get(Self::parent_index(follower_index, readers)).copied()
    }

    /// Returns the first router in the order other than `own`.
    pub fn first_other(&self, own: IpAddr) -> Option<IpAddr> {
        self.routers.iter().copied().find(|router| *router != own)
    }

    /// Returns the index of the router that a follower follows; `follower_index` counts the routers after
    /// the readers. Each level is filled round-robin, so that its routers have about equally many followers.
    fn parent_index(follower_index: usize, readers: usize) -> usize {
        let (mut level, mut start, mut first) = (readers, 0, 0);
        loop {
            let children = level * FANOUT;
            if follower_index < first + children {
                return start + (follower_index - first) % level;
            }
            first += children;
            start += level;
            level = children;
        }
    }
}

/// Returns a hash by which `own` orders other routers in an order of its own.
pub(super) fn pair_hash(own: &IpAddr, other: &IpAddr) -> u64 {
    xxh3_64_with_seed(&address_hash(other).to_le_bytes(), address_hash(own))
}

fn address_hash(address: &IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3_64(&address.octets()),
    }
}
