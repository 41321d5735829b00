//! The routers among which a fleet-wide limit is shared.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time for which a router is counted after the last contact. A router that is cut off may still
/// send requests and keeps its share; the share of a router that has stopped goes unused for as
/// long.
const ROUTER_TTL: Duration = Duration::from_secs(300);
/// Age, several rounds of reports, at which a router may have received the addresses of all others.
const SETTLING_AGE: Duration = Duration::from_secs(2);
/// Time without a new router after which a router in contact with others knows all of them.
const QUIET_DURATION: Duration = Duration::from_secs(1);
/// Age at which a router without contact to others assumes that it is the only one.
const ALONE_SETTLING_AGE: Duration = Duration::from_secs(5);
/// Maximum number of routers counted: twice the largest fleet designed for.
const MAX_ROUTERS: usize = 1_024;
/// Maximum number of cached ranks: more than the largest fleet has servers.
const MAX_CACHED_RANKS: usize = 4_096;

/// All routers with recent contact, directly or through reports of others, including this one.
#[derive(Debug, Clone)]
pub struct KnownRouters {
    own: IpAddr,
    started: Instant,
    last_contact: BTreeMap<IpAddr, Instant>,
    newcomer_at: Instant,
    is_settled: bool,
    expects_others: bool,
    /// Number of routers known to another router, and when it was reported.
    reported_count: Option<(u32, Instant)>,
    /// This router's rank for each server queried since the set of routers last changed.
    ranks: RefCell<HashMap<ServerId, u32>>,
}

impl KnownRouters {
    /// Creates the set of the router at `own`, which knows no other router yet. A router that
    /// `expects_others` never assumes that it is the only one, since it may be cut off from them.
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

    /// Records contact with `routers`.
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

    /// Removes routers without recent contact, and determines whether all routers are known. A
    /// router that appears later changes a share by at most one request.
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

    /// Returns whether this router can assume that it knows all others.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Records the number of routers known to another router. A restarted router thus learns that
    /// there are routers which are cut off and from which it receives nothing.
    pub fn record_count(&mut self, counted: u32, now: Instant) {
        let is_newer = self.reported_count.is_none_or(|(known, _)| counted >= known);
        if is_newer && counted as usize <= MAX_ROUTERS {
            self.reported_count = Some((counted, now));
        }
    }

    /// Returns the number of routers that this one knows, including itself.
    pub fn known_count(&self) -> u32 {
        u32::try_from(self.last_contact.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of routers, including those that only other routers know.
    pub fn count(&self) -> u32 {
        self.reported_count.map_or(0, |(counted, _)| counted).max(self.known_count())
    }

    /// Returns the highest rank that this router may have among all routers for a server.
    pub fn max_rank_for(&self, server: &ServerId) -> u32 {
        self.rank_for(server).saturating_add(self.count() - self.known_count())
    }

    /// Returns this router's rank among the known routers for a server, by rendezvous hashing. The
    /// rank is cached because each request needs it for each cold server.
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
