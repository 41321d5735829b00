//! The bounded table of processes known.
//!
//! Of each failure domain the table always keeps the processes that rank highest for watching
//! the service, and passes them on first, so that all processes soon know the same ones although
//! each knows few. Of the others it keeps those heard last.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayamux_protocol::peer::PeerRecord;
use papayamux_state::ids::{FailureDomain, Incarnation};
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64;

/// Processes that a table holds at most.
const MAX_PEERS: usize = 128;
/// Failure domains whose watchers are kept for sure.
const MAX_DOMAINS: usize = 8;
/// A process not heard for so long is not counted as alive.
pub(crate) const PEER_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// A process not heard for so long is forgotten, unless it is a seed.
const PEER_RETENTION: Duration = Duration::from_secs(15 * 60);

/// A process that is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPeer {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its life.
    pub incarnation: Incarnation,
    /// When it was last heard by anyone, as far as is known.
    pub last_contact: Instant,
}

/// The rank of a process among the watchers of its failure domain; the highest watch.
pub fn watch_rank(domain: &FailureDomain, address: SocketAddr) -> u64 {
    xxh3_64(format!("{domain} {address}").as_bytes())
}

impl KnownPeer {
    fn rank(&self) -> u64 {
        watch_rank(&self.domain, self.address)
    }

    fn record(&self, now: Instant) -> PeerRecord {
        PeerRecord {
            address: self.address,
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            heard_ms: now.saturating_duration_since(self.last_contact).as_millis() as u64,
        }
    }
}

/// All processes known, without this one.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddr,
    watchers: usize,
    peers: HashMap<SocketAddr, KnownPeer>,
}

impl PeerTable {
    /// An empty table of the process at `own`, for `watchers` in each failure domain.
    pub fn new(own: SocketAddr, watchers: usize) -> Self {
        Self { own, watchers, peers: HashMap::new() }
    }

    /// Notes a process that was heard `heard`; what was heard later wins.
    pub fn update(&mut self, peer: KnownPeer, now: Instant) {
        if peer.address == self.own {
            return;
        }
        let known = self.peers.get(&peer.address);
        let is_newer = known.is_none_or(|known| {
            (peer.incarnation, peer.last_contact) > (known.incarnation, known.last_contact)
        });
        if is_newer {
            self.peers.insert(peer.address, peer);
            self.evict(now);
        }
    }

    /// Notes what another process knows.
    pub fn update_from_record(&mut self, record: PeerRecord, now: Instant) {
        let age = Duration::from_millis(record.heard_ms);
        let Some(last_contact) = now.checked_sub(age) else { return };
        if age > PEER_RETENTION {
            return;
        }
        let PeerRecord { address, domain, incarnation, .. } = record;
        self.update(KnownPeer { address, domain, incarnation, last_contact }, now);
    }

    fn evict(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.last_contact) < PEER_RETENTION);
        while self.peers.len() > MAX_PEERS {
            let kept = self.top_watchers(now);
            let others = self.peers.values().filter(|peer| !kept.contains(&peer.address));
            let Some(oldest) = others.min_by_key(|peer| peer.last_contact) else { break };
            let address = oldest.address;
            self.peers.remove(&address);
        }
    }

    fn alive(&self, now: Instant) -> impl Iterator<Item = &KnownPeer> {
        let is_alive = move |peer: &&KnownPeer| {
            now.saturating_duration_since(peer.last_contact) < PEER_ALIVE_TIMEOUT
        };
        self.peers.values().filter(is_alive)
    }

    /// The processes alive that rank highest in their failure domains.
    fn top_watchers(&self, now: Instant) -> Vec<SocketAddr> {
        let mut domains: HashMap<&FailureDomain, Vec<&KnownPeer>> = HashMap::new();
        for peer in self.alive(now) {
            domains.entry(&peer.domain).or_default().push(peer);
        }
        let mut domains: Vec<_> = domains.into_iter().collect();
        domains.sort_by_key(|(domain, _)| *domain);
        domains.truncate(MAX_DOMAINS);
        let mut top = Vec::new();
        for (_, mut peers) in domains {
            peers.sort_by_key(|peer| std::cmp::Reverse(peer.rank()));
            top.extend(peers.iter().take(self.watchers).map(|peer| peer.address));
        }
        top
    }

    /// Whether this process, of failure domain `domain`, is among its domain's watchers.
    pub fn is_watcher(&self, domain: &FailureDomain, now: Instant) -> bool {
        let own = watch_rank(domain, self.own);
        let above = self.alive(now).filter(|peer| peer.domain == *domain && peer.rank() > own);
        above.count() < self.watchers
    }

    /// What to pass on: the watchers, and `others` more.
    pub fn records(&self, others: usize, now: Instant) -> Vec<PeerRecord> {
        let mut addresses = self.top_watchers(now);
        let rest: Vec<_> = self.alive(now).map(|peer| peer.address).collect();
        addresses.extend(rest.sample(&mut rand::rng(), others));
        addresses.sort();
        addresses.dedup();
        let peers = addresses.iter().filter_map(|address| self.peers.get(address));
        peers.map(|peer| peer.record(now)).collect()
    }

    /// All processes known, also those not heard for long.
    pub fn all(&self) -> impl Iterator<Item = &KnownPeer> {
        self.peers.values()
    }

    /// Processes heard lately.
    pub fn alive_count(&self, now: Instant) -> usize {
        self.alive(now).count()
    }
}
