//! Bounded table of known processes.
//!
//! For each failure domain the table always keeps the processes that rank highest as watchers of
//! the service, and sends them to peers first. All processes soon know the same watchers although
//! each knows few processes. Of the others it keeps the most recently contacted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayamux_protocol::peer::PeerRecord;
use papayamux_state::ids::{FailureDomain, Incarnation};
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of processes in the table.
const MAX_PEERS: usize = 128;
/// Maximum number of failure domains whose watchers are always kept.
const MAX_DOMAINS: usize = 8;
/// A process without contact for this long doesn't count as alive.
pub(crate) const PEER_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Entries without contact for this long are removed. Seeds remain known to the dialer through the
/// settings.
const PEER_RETENTION: Duration = Duration::from_secs(15 * 60);

/// A known process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPeer {
    /// Address on which it listens for peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Latest known contact of any process with it.
    pub last_contact: Instant,
}

/// Returns the rank of a process as a watcher of its failure domain. The highest-ranked processes
/// watch the service.
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
            last_contact_ms: now.saturating_duration_since(self.last_contact).as_millis() as u64,
        }
    }
}

/// All known processes except this one.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddr,
    watchers: usize,
    peers: HashMap<SocketAddr, KnownPeer>,
}

impl PeerTable {
    /// Creates an empty table for the process at `own`, with `watchers` per failure domain.
    pub fn new(own: SocketAddr, watchers: usize) -> Self {
        Self { own, watchers, peers: HashMap::new() }
    }

    /// Adds or updates a process. A later incarnation wins, then a later contact.
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

    /// Applies a record received from another process. Records older than `PEER_RETENTION` are
    /// ignored.
    pub fn update_from_record(&mut self, record: PeerRecord, now: Instant) {
        let age = Duration::from_millis(record.last_contact_ms);
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

    /// Returns the highest-ranked living processes of each failure domain.
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

    /// Returns whether this process, in failure domain `domain`, is one of the domain's watchers.
    pub fn is_watcher(&self, domain: &FailureDomain, now: Instant) -> bool {
        let own = watch_rank(domain, self.own);
        let above = self.alive(now).filter(|peer| peer.domain == *domain && peer.rank() > own);
        above.count() < self.watchers
    }

    /// Returns the records to send to a peer: the watchers and `others` random living processes.
    pub fn records(&self, others: usize, now: Instant) -> Vec<PeerRecord> {
        let mut addresses = self.top_watchers(now);
        let rest: Vec<_> = self.alive(now).map(|peer| peer.address).collect();
        addresses.extend(rest.sample(&mut rand::rng(), others));
        addresses.sort();
        addresses.dedup();
        let peers = addresses.iter().filter_map(|address| self.peers.get(address));
        peers.map(|peer| peer.record(now)).collect()
    }

    /// Returns all known processes, including those that don't count as alive.
    pub fn all(&self) -> impl Iterator<Item = &KnownPeer> {
        self.peers.values()
    }

    /// Returns the number of processes that count as alive.
    pub fn alive_count(&self, now: Instant) -> usize {
        self.alive(now).count()
    }
}
