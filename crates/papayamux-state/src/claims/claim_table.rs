//! A witness's table of the attempts to which it granted keys.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::{CallFingerprint, ClaimId, ClaimKey, FleetDigest, ViewHistory};
use crate::ids::ServerId;

/// The server to which an attempt was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunLocation {
    /// The server.
    pub server: ServerId,
    /// The address on which the server's agent listens.
    pub agent: SocketAddr,
}

/// An attempt's query for a key, as a witness checks it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimQuery {
    /// The key to be claimed.
    pub key: ClaimKey,
    /// The fingerprint of the call.
    pub fingerprint: CallFingerprint,
    /// The attempt that claims the key.
    pub claim: ClaimId,
    /// The views of the fleet under each of which the attempt needs a majority, the one in force
    /// first.
    pub views: Vec<FleetDigest>,
}

/// A grant of a key to another attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    /// The attempt that holds the key.
    pub claim: ClaimId,
    /// The server to which the attempt was sent last, if the witness knows it.
    pub place: Option<RunLocation>,
}

/// The reason for which a witness refuses a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The witness has started so recently that a previous incarnation may have granted the key.
    NotReady {
        /// The time until the witness grants claims.
        ready_in: Duration,
    },
    /// The witness knows a view of the fleet that the query doesn't list.
    OtherFleet,
    /// Another attempt at the same call holds the key.
    Held(HeldClaim),
    /// The key was granted for a different call.
    OtherCall,
    /// The table is full.
    Full,
}

#[derive(Debug, Clone)]
struct Grant {
    claim: ClaimId,
    fingerprint: CallFingerprint,
    expires_at: Duration,
    place: Option<RunLocation>,
}

#[derive(Debug, Clone, Copy)]
struct GrantExpiry {
    key: ClaimKey,
    claim: ClaimId,
    expires_at: Duration,
}

/// The claims granted by one incarnation of a witness. All times are relative to its start.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    retention: Duration,
    max_claims: usize,
    ready: Duration,
    own_view: Option<FleetDigest>,
    views: ViewHistory,
    grants: HashMap<ClaimKey, Grant>,
    expiries: VecDeque<GrantExpiry>,
}

impl ClaimTable {
    /// Creates an empty table that keeps each of at most `max_claims` claims for `retention`.
    ///
    /// The table grants no claim before that time has passed, because a previous incarnation of
    /// the witness may have granted the same keys.
    pub fn new(retention: Duration, max_claims: usize) -> Self {
        Self {
            retention,
            max_claims,
            ready: retention,
            own_view: None,
            views: ViewHistory::default(),
            grants: HashMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Makes the table grant claims from `ready` on. Use it only for a witness without a previous
    /// incarnation that could have granted claims less than a retention before `ready`.
    pub fn ready_from(mut self, ready: Duration) -> Self {
        self.ready = ready;
        self
    }

    /// Puts a view of the declared fleet in force for this witness. The previous view must still
    /// be covered by queries for one more retention.
    pub fn declare_view(&mut self, view: FleetDigest, now: Duration) {
        match self.own_view.replace(view) {
            Some(previous) if previous != view => {
                self.views.retire(previous, now + self.retention);
            }
            _ => {}
        }
        self.views.record(view, Duration::MAX, now);
    }

    /// Returns the time until the witness grants claims.
    pub fn ready_in(&self, now: Duration) -> Duration {
        self.ready.saturating_sub(now)
    }

    /// Returns the number of granted keys, including expired ones that the next claim will remove.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether no key is granted.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Grants the key to the attempt for one retention from `now`, or returns the reason for
    /// refusing it. An attempt that already holds the key is granted it again.
    pub fn claim(&mut self, query: &ClaimQuery, now: Duration) -> Result<(), ClaimRefusal> {
        self.expire(now);
        self.check_held(query)?;
        let ready_in = self.ready_in(now);
        if !ready_in.is_zero() {
            return Err(ClaimRefusal::NotReady { ready_in });
        }
        self.check_views(query, now)?;
        if self.expiries.len() >= self.max_claims {
            return Err(ClaimRefusal::Full);
        }
        self.grant(query, now + self.retention);
        Ok(())
    }

    /// Records the server to which the attempt was sent, if it holds the key.
    pub fn place(&mut self, key: ClaimKey, claim: ClaimId, place: RunLocation) {
        if let Some(grant) = self.grants.get_mut(&key).filter(|grant| grant.claim == claim) {
            grant.place = Some(place);
        }
    }

    /// Releases the key of an attempt that is proven never to have run and never to run.
    pub fn release(&mut self, key: ClaimKey, claim: ClaimId) {
        if let Entry::Occupied(entry) = self.grants.entry(key) {
            if entry.get().claim == claim {
                entry.remove();
            }
        }
    }

    fn check_held(&self, query: &ClaimQuery) -> Result<(), ClaimRefusal> {
        match self.grants.get(&query.key) {
            None => Ok(()),
            Some(grant) if grant.fingerprint != query.fingerprint => Err(ClaimRefusal::OtherCall),
            Some(grant) if grant.claim == query.claim => Ok(()),
            Some(grant) => Err(ClaimRefusal::Held(HeldClaim {
                claim: grant.claim,
                place: grant.place.clone(),
            })),
        }
    }

    /// Checks that the query lists each view that this witness has known within the retention.
    /// Otherwise another attempt could hold a majority under a view that this query doesn't list.
    /// The query's first view is recorded as known.
    fn check_views(&mut self, query: &ClaimQuery, now: Duration) -> Result<(), ClaimRefusal> {
        if !self.views.is_covered_by(&query.views, now) {
            return Err(ClaimRefusal::OtherFleet);
        }
        let Some(current) = query.views.first() else { return Err(ClaimRefusal::OtherFleet) };
        match self.views.record(*current, now + self.retention, now) {
            true => Ok(()),
            false => Err(ClaimRefusal::OtherFleet),
        }
    }

    fn grant(&mut self, query: &ClaimQuery, expires_at: Duration) {
        let (claim, fingerprint) = (query.claim, query.fingerprint);
        let place = self.grants.get(&query.key).and_then(|grant| grant.place.clone());
        self.grants.insert(query.key, Grant { claim, fingerprint, expires_at, place });
        self.expiries.push_back(GrantExpiry { key: query.key, claim, expires_at });
    }

    fn expire(&mut self, now: Duration) {
        while let Some(expiry) = self.expiries.front().copied() {
            if expiry.expires_at > now {
                break;
            }
            self.expiries.pop_front();
            if let Entry::Occupied(entry) = self.grants.entry(expiry.key) {
                if entry.get().claim == expiry.claim && entry.get().expires_at <= now {
                    entry.remove();
                }
            }
        }
    }
}
