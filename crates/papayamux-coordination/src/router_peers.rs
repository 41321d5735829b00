//! Which other routers there are, and whom to tell next.
//!
//! Each router tells a few others at a time about its requests, in turn, and names the routers
//! that it hears. So all find one another from a few addresses, and the traffic of one router is
//! bounded however many there are.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Silence after which a router is forgotten; its address comes back with the next router that
/// hears it. Longer than a short cut, so that a healed link is used at once.
const PEER_TTL: Duration = Duration::from_secs(10);
/// Silence after which a router is no longer named to others.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(3);
/// Routers told at a time.
const FANOUT: usize = 12;
/// Reports by which a datagram may be late; an older number is that of a restarted router.
const REORDER_WINDOW: u64 = 8;
/// Routers named in one report: with a hundred reports in a few seconds each router of the largest fleet
/// is named several times in that time.
const NAMED_PER_REPORT: usize = 16;
/// Routers kept: twice the largest fleet that is designed for.
const MAX_PEERS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct PeerState {
    named: Instant,
    last_contact: Option<Instant>,
    sequence: u64,
    fresh: bool,
}

/// What a router says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerUpdate<'a> {
    /// The number of its report.
    pub sequence: u64,
    /// The routers that it hears.
    pub known: &'a [IpAddr],
    /// Whether it has started lately.
    pub fresh: bool,
}

/// The other routers.
#[derive(Debug)]
pub struct RouterPeers {
    own: IpAddr,
    seeds: Vec<IpAddr>,
    peers: BTreeMap<IpAddr, PeerState>,
    last_target: Option<IpAddr>,
    last_named: Option<IpAddr>,
}

impl RouterPeers {
    /// The router at `own`, which begins with `seeds`.
    pub fn new(own: IpAddr, seeds: Vec<IpAddr>) -> Self {
        Self { own, seeds, peers: BTreeMap::new(), last_target: None, last_named: None }
    }

    /// Replaces the addresses to begin with.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.seeds = seeds;
    }

    /// Notes a report of `peer`; `false` where it is older than one that was heard before.
    pub fn record_update(&mut self, peer: IpAddr, update: PeerUpdate<'_>, now: Instant) -> bool {
        let PeerUpdate { sequence, known, fresh } = update;
        if peer == self.own {
            return false;
        }
        let unknown_peer = PeerState { named: now, last_contact: None, sequence: 0, fresh: false };
        for address in known.iter().filter(|address| **address != self.own) {
            if self.peers.len() < MAX_PEERS {
                self.peers.entry(*address).or_insert(unknown_peer).named = now;
            }
        }
        let state = self.peers.entry(peer).or_insert(unknown_peer);
        let has_recent_contact =
            state.last_contact.is_some_and(|last_contact| now - last_contact < MAX_CONTACT_AGE);
        let restarted = sequence.saturating_add(REORDER_WINDOW) < state.sequence;
        if has_recent_contact && sequence <= state.sequence && !restarted {
            return false;
        }
        *state = PeerState { named: now, last_contact: Some(now), sequence, fresh };
        true
    }

    /// Some of the routers that are heard, in turn, to be named to others.
    pub fn next_named(&mut self, now: Instant) -> Vec<IpAddr> {
        let alive = self.alive(now);
        let start = self.last_named.map_or(0, |last| alive.partition_point(|peer| *peer <= last));
        let count = NAMED_PER_REPORT.min(alive.len());
        let named: Vec<_> = alive.iter().cycle().skip(start).take(count).copied().collect();
        self.last_named = named.last().copied().or(self.last_named);
        named
    }

    /// How many rounds of reports it takes until each router has been told once.
    pub fn rounds(&self) -> usize {
        self.peers.len().div_ceil(FANOUT).max(1)
    }

    /// Routers that are there, heard by this one or named by others lately.
    pub fn known(&self) -> Vec<IpAddr> {
        self.peers.keys().copied().collect()
    }

    /// Routers that are heard.
    pub fn alive(&self, now: Instant) -> Vec<IpAddr> {
        let alive = self.peers.iter().filter(|(_, state)| state.is_alive(now));
        alive.map(|(address, _)| *address).collect()
    }

    /// Whether all routers that are heard have started lately, or none is heard.
    pub fn all_are_fresh(&self, now: Instant) -> bool {
        self.peers.values().filter(|state| state.is_alive(now)).all(|state| state.fresh)
    }

    /// Whom to tell next: a few routers in turn, and the seeds that are not among the known ones.
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
    fn last_activity(&self) -> Instant {
        self.last_contact.map_or(self.named, |last_contact| last_contact.max(self.named))
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.last_contact.is_some_and(|last_contact| now - last_contact < MAX_CONTACT_AGE)
    }
}
