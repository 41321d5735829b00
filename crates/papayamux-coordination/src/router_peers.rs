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
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Silence after which a router is no longer named to others.
const NAME_WITHIN: Duration = Duration::from_secs(3);
/// Routers told at a time.
const FANOUT: usize = 12;
/// Reports by which a datagram may be late; an older number is that of a restarted router.
const REORDERED: u64 = 8;
/// Routers named in one report: with a hundred reports in a few seconds each router of the largest fleet
/// is named several times in that time.
const NAMED_PER_REPORT: usize = 16;
/// Routers kept: twice the largest fleet that is designed for.
const MOST_PEERS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct PeerState {
    named: Instant,
    heard: Option<Instant>,
    sequence: u64,
    fresh: bool,
}

/// What a router says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerNews<'a> {
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
    told_last: Option<IpAddr>,
    named_last: Option<IpAddr>,
}

impl RouterPeers {
    /// The router at `own`, which begins with `seeds`.
    pub fn new(own: IpAddr, seeds: Vec<IpAddr>) -> Self {
        Self { own, seeds, peers: BTreeMap::new(), told_last: None, named_last: None }
    }

    /// Replaces the addresses to begin with.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.seeds = seeds;
    }

    /// Notes a report of `peer`; `false` where it is older than one that was heard before.
    pub fn hear(&mut self, peer: IpAddr, news: PeerNews<'_>, now: Instant) -> bool {
        let PeerNews { sequence, known, fresh } = news;
        if peer == self.own {
            return false;
        }
        let unheard = PeerState { named: now, heard: None, sequence: 0, fresh: false };
        for address in known.iter().filter(|address| **address != self.own) {
            if self.peers.len() < MOST_PEERS {
                self.peers.entry(*address).or_insert(unheard).named = now;
            }
        }
        let state = self.peers.entry(peer).or_insert(unheard);
        let heard_lately = state.heard.is_some_and(|heard| now - heard < NAME_WITHIN);
        let restarted = sequence.saturating_add(REORDERED) < state.sequence;
        if heard_lately && sequence <= state.sequence && !restarted {
            return false;
        }
        *state = PeerState { named: now, heard: Some(now), sequence, fresh };
        true
    }

    /// Some of the routers that are heard, in turn, to be named to others.
    pub fn next_named(&mut self, now: Instant) -> Vec<IpAddr> {
        let alive = self.alive(now);
        let start = self.named_last.map_or(0, |last| alive.partition_point(|peer| *peer <= last));
        let count = NAMED_PER_REPORT.min(alive.len());
        let named: Vec<_> = alive.iter().cycle().skip(start).take(count).copied().collect();
        self.named_last = named.last().copied().or(self.named_last);
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
        self.peers.retain(|_, state| now - state.last_sign() < FORGET_AFTER);
        let seeds = self.seeds.iter().filter(|seed| **seed != self.own);
        let unknown_seeds = seeds.filter(|seed| !self.peers.contains_key(seed)).copied();
        let start = self.told_last.map_or(0, |last| self.peers.range(..=last).count());
        let turn = self.peers.keys().cycle().skip(start).take(FANOUT.min(self.peers.len()));
        let turn: Vec<_> = turn.copied().collect();
        self.told_last = turn.last().copied().or(self.told_last);
        unknown_seeds.chain(turn.iter().copied()).collect()
    }
}

impl PeerState {
    fn last_sign(&self) -> Instant {
        self.heard.map_or(self.named, |heard| heard.max(self.named))
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now - heard < NAME_WITHIN)
    }
}
