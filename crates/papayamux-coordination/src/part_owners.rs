//! Owners of shared prompt parts: the routers that know which server holds a part.
//!
//! Notifying all other routers of every placed part would cost more with each router of the fleet.
//! A router that did not know of a holder sent the prompt to the part's home, or had it copied from
//! there, assuming that the home held it. Each part therefore has one owner among the routers, and
//! all routers that know the same routers agree on it. A router that has a part placed on a server
//! not known to hold it notifies the owner, and a router that knows no holder queries the owner.
//! Either takes one small datagram, whatever the number of routers.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::durations::saturating_millis;
use papayamux_state::prompt::PartId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::server_profile::CallTime;

/// Prior of the answer time of an owner, a round trip to another failure domain; it has no effect
/// after the first answers.
const ANSWER_PRIOR: Duration = Duration::from_millis(2);
/// Number of deviations by which an answer may be later than usual, as in the retransmission timer
/// of TCP (RFC 6298).
const LATE_DEVIATIONS: f64 = 4.0;
/// Maximum wait for an answer as a fraction of the part's prefill time. Short parts are not worth a
/// query if the owner is in another region.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Age of an unanswered query at which its owner counts as silent. It exceeds the round trip to
/// another region.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a silent owner is not queried again: a fraction of the time after which a stopped
/// router is removed.
const SILENT_OWNER_BACKOFF: Duration = Duration::from_secs(1);
/// Minimum number of shared tokens for which the owner is notified of a holder; fewer are prefilled
/// within a few steps of an engine.
const MIN_ANNOUNCED_TOKENS: u64 = 1_000;
/// Age until which a router does not assume that a part it was not notified of has no holder. Until
/// then, holders may be known only to its previous owner.
pub const OWNER_LEARNING_DURATION: Duration = Duration::from_secs(10);

/// Returns the owner of a part among `routers` by rendezvous hashing: a router that joins or
/// departs only moves the parts that it owns.
pub fn part_owner(part: PartId, routers: impl IntoIterator<Item = IpAddr>) -> Option<IpAddr> {
    let weight = |router: &IpAddr| match router {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), part.0),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), part.0),
    };
    routers.into_iter().max_by_key(|router| (weight(router), *router))
}

/// Returns whether a part is large enough to notify its owner of it and to query it.
pub fn is_worth_announcing(shared_tokens: u64) -> bool {
    shared_tokens >= MIN_ANNOUNCED_TOKENS
}

/// Answer times of owners, as observed by this router.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTimes(CallTime);

impl Default for AnswerTimes {
    fn default() -> Self {
        Self(CallTime::new(ANSWER_PRIOR))
    }
}

impl AnswerTimes {
    /// Adds the time of an answer, including answers that came too late.
    pub fn record(&mut self, took: Duration) {
        self.0.record(took);
    }

    /// Returns the time to wait for an answer about a part with the given prefill time; `None` if
    /// the part is not worth a query.
    pub fn wait_budget(&self, prefill_time: Duration) -> Option<Duration> {
        let max_wait = prefill_time.mul_f64(MAX_WAIT_FRACTION);
        let usual = saturating_millis(self.0.mean_ms());
        (usual <= max_wait).then(|| self.0.longer_than_usual(LATE_DEVIATIONS).min(max_wait))
    }
}

/// Owners that have recently not answered.
#[derive(Debug, Default)]
pub struct SilentOwners {
    until: HashMap<IpAddr, Instant>,
}

impl SilentOwners {
    /// Records that an owner did not answer on time.
    pub fn record(&mut self, owner: IpAddr, now: Instant) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(owner, now + SILENT_OWNER_BACKOFF);
    }

    /// Returns whether an owner may be queried.
    pub fn allow(&self, owner: IpAddr, now: Instant) -> bool {
        self.until.get(&owner).is_none_or(|until| now >= *until)
    }
}
