//! Membership of the router fleet, and the targets of the next report.
//!
//! In each round, a router reports its requests to a few peers in rotation and names peers that it
//! is in contact with. Routers thereby discover the whole fleet from a few seed addresses, and the
//! traffic of one router is bounded regardless of the fleet's size.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::capacity_class::CapacityClass;

/// Duration of silence after which a peer is removed; any router still in contact with it names it
/// again. Outlasts a short partition, so that a healed link is used at once.
const PEER_TTL: Duration = Duration::from_secs(10);
/// Age of the last report from a peer beyond which it is no longer named to others.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(3);
/// Maximum number of known peers that one round of reports goes to.
const FANOUT: usize = 12;
/// Number of reports by which a datagram may arrive late; a still lower sequence number means that the
/// router has restarted.
const REORDER_WINDOW: u64 = 8;
/// Maximum number of peers named in one report. A hundred reports in a few seconds name each router of
/// the largest fleet several times.
const NAMED_PER_REPORT: usize = 16;
/// Maximum number of peers kept: twice the size of the largest supported fleet.
const MAX_PEERS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct PeerState {
    named: Instant,
    last_contact: Option<Instant>,
    sequence: u64,
    fresh: bool,
    capacity: CapacityClass,
}

/// The part of a peer's report that concerns membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerUpdate<'a> {
    /// Sequence number of the report.
    pub sequence: u64,
    /// Routers that the sender is in contact with.
    pub known: &'a [IpAddr],
    /// `true` if the sender has started recently.
    pub fresh: bool,
}

/// The other routers of the fleet.
#[derive(Debug)]
pub struct RouterPeers {
    own: IpAddr,
    seeds: Vec<IpAddr>,
    peers: BTreeMap<IpAddr, PeerState>,
    last_target: Option<IpAddr>,
    last_named: Option<IpAddr>,
}

impl RouterPeers {
    /// Creates the peer list of the router at `own`, which initially contacts `seeds`.
    pub fn new(own: IpAddr, seeds: Vec<IpAddr>) -> Self {
        Self { own, seeds, peers: BTreeMap::new(), last_target: None, last_named: None }
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.seeds = seeds;
    }

    /// Returns the seed addresses.
    pub fn seeds(&self) -> Vec<IpAddr> {
        self.seeds.clone()
    }

    /// Records a report from `peer`. Returns `false` if it is older than one received before.
    pub fn record_update(&mut self, peer: IpAddr, update: PeerUpdate<'_>, now: Instant) -> bool {
        let PeerUpdate { sequence, known, fresh } = update;
        if peer == self.own {
            return false;
        }
        self.record_named(known, now);
        let state = self.peers.entry(peer).or_insert(PeerState::unknown(now));
        let has_recent_contact =
            state.last_contact.is_some_and(|last_contact| now - last_contact < MAX_CONTACT_AGE);
        let restarted = sequence.saturating_add(REORDER_WINDOW) < state.sequence;
        if has_recent_contact && sequence <= state.sequence && !restarted {
            return false;
        }
        let capacity = state.capacity;
        *state = PeerState { named: now, last_contact: Some(now), sequence, fresh, capacity };
        true
    }

    /// Records the processor capacity that a peer reports.
    pub fn record_capacity(&mut self, peer: IpAddr, capacity: CapacityClass) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.capacity = capacity;
        }
    }

    /// Returns all known peers with their processor capacities.
    pub fn capacities(&self) -> impl Iterator<Item = (IpAddr, CapacityClass)> + '_ {
        self.peers.iter().map(|(peer, state)| (*peer, state.capacity))
    }

    /// Records routers that another one named outside of a report.
    pub fn record_named(&mut self, named: &[IpAddr], now: Instant) {
        let unknown_peer = PeerState::unknown(now);
        for address in named.iter().filter(|address| **address != self.own) {
            if self.peers.len() < MAX_PEERS {
                self.peers.entry(*address).or_insert(unknown_peer).named = now;
            }
        }
    }

    /// Returns the peers to name in the next report, in rotation among those in contact.
    pub fn next_named(&mut self, now: Instant) -> Vec<IpAddr> {
        let alive = self.alive(now);
        let start = self.last_named.map_or(0, |last| alive.partition_point(|peer| *peer <= last));
        let count = NAMED_PER_REPORT.min(alive.len());
        let named: Vec<_> = alive.iter().cycle().skip(start).take(count).copied().collect();
        self.last_named = named.last().copied().or(self.last_named);
        named
    }

    /// Returns the number of rounds after which each peer has received a report.
    pub fn rounds(&self) -> usize {
        self.peers.len().div_ceil(FANOUT).max(1)
    }

    /// Returns all peers from which a report arrived or that others named recently.
    pub fn known(&self) -> Vec<IpAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the peers from which a report arrived recently.
    pub fn alive(&self, now: Instant) -> Vec<IpAddr> {
        let alive = self.peers.iter().filter(|(_, state)| state.is_alive(now));
        alive.map(|(address, _)| *address).collect()
    }

    /// Returns whether all peers in contact have started recently; `true` if there are none.
    pub fn all_are_fresh(&self, now: Instant) -> bool {
        self.peers.values().filter(|state| state.is_alive(now)).all(|state| state.fresh)
    }

    /// Returns the targets of the next report: a few peers in rotation, and all seeds that are not yet
    /// known as peers. Removes expired peers first.
    pub fn next_targets(&mut self, now: Instant) -> Vec<IpAddr> {
        self.peers.retain(|_, state| now - state.last_activity() < PEER_TTL);
        let seeds = self.seeds.iter().filter(|seed| **seed != self.own);
        let unknown_seeds = seeds.filter(|seed| !self.peers.contains_key(seed)).copied();
        let start = self.last_target.map_or(0, |last| self.peers.range(..=last).count());
        let rotation = self.peers.keys().cycle().skip(start).take(FANOUT.min(self.peers.len()));
        let rotation: Vec<_> = rotation.copied().collect();
        self.last_target = rotation.last().copied().or(self.last_target);
        unknown_seeds.chain(rotation.iter().copied()).collect()
    }
}

impl PeerState {
    fn unknown(now: Instant) -> Self {
        Self {
            named: now,
            last_contact: None,
            sequence: 0,
            fresh: false,
            capacity: CapacityClass::UNKNOWN,
        }
    }

    fn last_activity(&self) -> Instant {
        self.last_contact.map_or(self.named, |last_contact| last_contact.max(self.named))
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.last_contact.is_some_and(|last_contact| now - last_contact < MAX_CONTACT_AGE)
    }
}
