//! Which routers read the source, and whom each of the others follows.

use std::net::IpAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Readers of a fleet that is not tiny: one may be frozen and one cut off while the third reads on.
const MAX_READERS: usize = 3;
/// Readers of the smallest fleets: one may be lost.
const MIN_READERS: usize = 2;
/// Routers for each reader below which a further one is not worth its calls.
const ROUTERS_PER_READER: usize = 8;
/// Routers that follow one. A tree of three readers then reaches 51 routers in one hop, 819 in two and
/// 13,000 in three, and none sends more than sixteen statements of some 90 bytes for each read: 5 KB/s.
pub(super) const FANOUT: usize = 16;
/// The shortest pause between two reads of one reader. A server's leaving is heard after half of it in
/// the mean, 150 ms.
const MIN_READING_INTERVAL: Duration = Duration::from_millis(300);

/// How many of `routers` read the source.
pub fn reader_count(routers: usize) -> usize {
    (routers / ROUTERS_PER_READER).clamp(MIN_READERS, MAX_READERS).min(routers.max(1))
}

/// The pause between two reads of one reader, where a router that reads by itself pauses for `alone`:
/// so long that a small fleet makes no more calls than it would with each router reading.
pub fn reading_interval(routers: usize, solo_interval: Duration) -> Duration {
    let reading_fraction = reader_count(routers) as f64 / routers.max(1) as f64;
    solo_interval.mul_f64(reading_fraction).max(MIN_READING_INTERVAL).min(solo_interval)
}

/// The routers in an order on which all agree who know the same routers: by a hash of their addresses,
/// which spreads readers over failure domains and machines without a word between routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderOrder {
    routers: Vec<IpAddr>,
}

impl ReaderOrder {
    /// The order of these routers.
    pub fn new(routers: impl IntoIterator<Item = IpAddr>) -> Self {
        let mut routers: Vec<_> = routers.into_iter().collect();
        routers.sort_unstable_by_key(|router| (address_hash(router), *router));
        routers.dedup();
        Self { routers }
    }

    /// The order without the routers that `leaves_out` names.
    pub fn without(&self, is_excluded: impl Fn(&IpAddr) -> bool) -> Self {
        let routers = self.routers.iter().copied();
        Self { routers: routers.filter(|router| !is_excluded(router)).collect() }
    }

    fn index_of(&self, router: IpAddr) -> Option<usize> {
        let key = (address_hash(&router), router);
        self.routers.binary_search_by_key(&key, |other| (address_hash(other), *other)).ok()
    }

    /// Whom `own` follows; `None` where it reads itself. It stands behind those whom it follows, so
    /// that no two routers that agree on the order follow each other.
    pub fn followed_by(&self, own: IpAddr) -> Option<IpAddr> {
        let index = self.index_of(own)?;
        let readers = reader_count(self.routers.len());
        let follower_index = index.checked_sub(readers)?;
        self.routers.get(Self::parent_index(follower_index, readers)).copied()
    }

    /// The first of the readers that is not `own`.
    pub fn first_other(&self, own: IpAddr) -> Option<IpAddr> {
        self.routers.iter().copied().find(|router| *router != own)
    }

    /// The place of the router that the one `behind` readers follows. Levels are filled in turn, so that
    /// readers have about as many followers each.
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

fn address_hash(address: &IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3_64(&address.octets()),
    }
}
