//! The routers among which a bound on all of them is shared out.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How long a router counts that was heard of. One that can't be heard for a while may still send, and keeps
/// its share; the shares of those that have ended go unused for as long.
const ROUTER_TTL: Duration = Duration::from_secs(300);
/// Age at which a router may have heard of all others: several rounds of reports.
const SETTLING_AGE: Duration = Duration::from_secs(2);
/// Time without a newcomer after which a router that hears others has heard of all.
const QUIET_DURATION: Duration = Duration::from_secs(1);
/// Age at which a router that hears nobody takes itself for the only one.
const ALONE_SETTLING_AGE: Duration = Duration::from_secs(5);
/// Routers counted: twice the largest fleet that is designed for.
const MAX_ROUTERS: usize = 1_024;
/// Places kept: more servers than the largest fleet has.
const MAX_CACHED_RANKS: usize = 4_096;

/// All routers that were heard of lately, this one included.
#[derive(Debug, Clone)]
pub struct KnownRouters {
    own: IpAddr,
    started: Instant,
    last_contact: BTreeMap<IpAddr, Instant>,
    newcomer_at: Instant,
    is_settled: bool,
    expects_others: bool,
    /// How many routers another one counted, and when it said so.
    reported_count: Option<(u32, Instant)>,
    /// This router's place for each server that was asked for since the routers changed last.
    ranks: RefCell<HashMap<ServerId, u32>>,
}

impl KnownRouters {
    /// The router at `own`, which knows of no other yet. Where it `expects_others`, it never takes itself for the
    /// only one: it may be cut off from them.
    pub fn new(own: IpAddr, expects_others: bool, now: Instant) -> Self {
        let last_contact = BTreeMap::from([(own, now)]);
        Self {
            own,
            started: now,
            last_contact,
            newcomer_at: now,
            is_settled: false,
            expects_others,
            reported_count: None,
            ranks: RefCell::default(),
        }
    }

    /// Notes that these routers are there.
    pub fn record<'a>(&mut self, routers: impl IntoIterator<Item = &'a IpAddr>, now: Instant) {
        for router in routers {
            let is_full = self.last_contact.len() >= MAX_ROUTERS;
            match self.last_contact.get_mut(router) {
                Some(last_contact) => *last_contact = now,
                None if is_full => {}
                None => {
                    self.last_contact.insert(*router, now);
                    self.newcomer_at = now;
                    self.ranks.borrow_mut().clear();
                }
            }
        }
    }

    /// Forgets routers that were not heard of for long, and finds out whether all are known. Later newcomers
    /// change a share by one request at the most.
    pub fn update(&mut self, now: Instant) {
        let (own, before) = (self.own, self.last_contact.len());
        self.last_contact.retain(|router, last_contact| {
            *router == own || now.saturating_duration_since(*last_contact) < ROUTER_TTL
        });
        let is_current = |(_, reported_at): &(u32, Instant)| {
            now.saturating_duration_since(*reported_at) < ROUTER_TTL
        };
        self.reported_count = self.reported_count.filter(is_current);
        if self.last_contact.len() != before {
            self.ranks.borrow_mut().clear();
        }
        let age = now.saturating_duration_since(self.started);
        let quiet = now.saturating_duration_since(self.newcomer_at);
        self.is_settled |= match self.last_contact.len() {
            1 => age >= ALONE_SETTLING_AGE && !self.expects_others,
            _ => age >= SETTLING_AGE && quiet >= QUIET_DURATION,
        };
    }

    /// Whether this router may count on knowing all others.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Notes how many routers another one has heard of. One that has started again so learns that there are
    /// routers which are cut off and which it can't hear of.
    pub fn record_count(&mut self, counted: u32, now: Instant) {
        let is_newer = self.reported_count.is_none_or(|(known, _)| counted >= known);
        if is_newer && counted as usize <= MAX_ROUTERS {
            self.reported_count = Some((counted, now));
        }
    }

    /// Routers that this one has heard of, itself among them.
    pub fn known_count(&self) -> u32 {
        u32::try_from(self.last_contact.len()).unwrap_or(u32::MAX)
    }

    /// Routers that are there, those that only others have heard of among them.
    pub fn count(&self) -> u32 {
        self.reported_count.map_or(0, |(counted, _)| counted).max(self.known_count())
    }

    /// The last place that this router may have among all routers for one server.
    pub fn max_rank_for(&self, server: &ServerId) -> u32 {
        self.rank_for(server).saturating_add(self.count() - self.known_count())
    }

    /// This router's place among those heard of, by rendezvous hashing. Each request asks for it once for each
    /// cold server, so that it is kept.
    fn rank_for(&self, server: &ServerId) -> u32 {
        if let Some(rank) = self.ranks.borrow().get(server) {
            return *rank;
        }
        let rank = self.compute_rank(server);
        let mut ranks = self.ranks.borrow_mut();
        if ranks.len() >= MAX_CACHED_RANKS {
            ranks.clear();
        }
        ranks.insert(server.clone(), rank);
        rank
    }

    fn compute_rank(&self, server: &ServerId) -> u32 {
        let seed = xxh3_64(server.as_str().as_bytes());
        let weight = |router: &IpAddr| (router_hash(router, seed), *router);
        let own = weight(&self.own);
        let ahead = self.last_contact.keys().filter(|router| weight(router) > own).count();
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }
}

fn router_hash(router: &IpAddr, seed: u64) -> u64 {
    match router {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), seed),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), seed),
    }
}
