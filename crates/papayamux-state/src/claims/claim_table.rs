//! A witness's memory of which attempt it has granted each key to.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::{CallFingerprint, ClaimId, ClaimKey, FleetDigest, ViewHistory};
use crate::ids::ServerId;

/// Where an attempt was brought to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunLocation {
    /// The server.
    pub server: ServerId,
    /// Where its agent listens.
    pub agent: SocketAddr,
}

/// A claim as a witness judges it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimQuery {
    /// The key.
    pub key: ClaimKey,
    /// The call.
    pub fingerprint: CallFingerprint,
    /// The attempt.
    pub claim: ClaimId,
    /// The views of the fleet under which the attempt asks for majorities, the one in force
    /// first.
    pub views: Vec<FleetDigest>,
}

/// A key that another attempt holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    /// The attempt.
    pub claim: ClaimId,
    /// Where it was brought to last, as far as the witness knows.
    pub place: Option<RunLocation>,
}

/// Why a witness grants nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The witness may have had a predecessor that granted the key.
    NotReady {
        /// Time until it remembers a whole window.
        ready_in: Duration,
    },
    /// The witness knows a view of the fleet that the attempt does not reckon with.
    OtherFleet,
    /// The key is held by another attempt at the same call.
    Held(HeldClaim),
    /// The key is held by another call.
    OtherCall,
    /// No further claim can be remembered.
    Full,
}

#[derive(Debug, Clone)]
struct Grant {
    claim: ClaimId,
    fingerprint: CallFingerprint,
    until: Duration,
    place: Option<RunLocation>,
}

#[derive(Debug, Clone, Copy)]
struct GrantExpiry {
    key: ClaimKey,
    claim: ClaimId,
    until: Duration,
}

/// The claims of one life of a witness. All times are since that life began.
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
    /// An empty table that remembers each of at most `most_claims` claims for `retention`, and
    /// grants none before it has lived that long: a predecessor may have granted them.
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

    /// Grants from `ready` on. Only for a witness that can't have had a predecessor which
    /// granted anything less than a retention before `ready`.
    pub fn ready_from(mut self, ready: Duration) -> Self {
        self.ready = ready;
        self
    }

    /// Puts a view of the declared fleet in force for this witness. The one before it counts
    /// for one retention more.
    pub fn declare_view(&mut self, view: FleetDigest, now: Duration) {
        match self.own_view.replace(view) {
            Some(previous) if previous != view => {
                self.views.retire(previous, now + self.retention);
            }
            _ => {}
        }
        self.views.record(view, Duration::MAX, now);
    }

    /// Time until the witness grants claims.
    pub fn ready_in(&self, now: Duration) -> Duration {
        self.ready.saturating_sub(now)
    }

    /// Keys held at present, counting those that expire only with the next claim.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Grants the key to the attempt, for the retention from `now`, or says why not. An attempt
    /// that asks again is granted again.
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

    /// Notes where the attempt was brought to.
    pub fn place(&mut self, key: ClaimKey, claim: ClaimId, place: RunLocation) {
        if let Some(grant) = self.grants.get_mut(&key).filter(|grant| grant.claim == claim) {
            grant.place = Some(place);
        }
    }

    /// Frees the key of an attempt that is proved not run and never will.
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

    /// The attempt must ask under each view that this witness has known within the window: else
    /// another attempt may hold a majority under a view that this one does not ask under.
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

    fn grant(&mut self, query: &ClaimQuery, until: Duration) {
        let (claim, fingerprint) = (query.claim, query.fingerprint);
        let place = self.grants.get(&query.key).and_then(|grant| grant.place.clone());
        self.grants.insert(query.key, Grant { claim, fingerprint, until, place });
        self.expiries.push_back(GrantExpiry { key: query.key, claim, until });
    }

    fn expire(&mut self, now: Duration) {
        while let Some(expiry) = self.expiries.front().copied() {
            if expiry.until > now {
                break;
            }
            self.expiries.pop_front();
            if let Entry::Occupied(entry) = self.grants.entry(expiry.key) {
                if entry.get().claim == expiry.claim && entry.get().until <= now {
                    entry.remove();
                }
            }
        }
    }
}
