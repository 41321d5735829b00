//! Which router is asked who holds a shared part of prompts.
//!
//! Routers can't tell all others of every part that they place: that grows with the fleet. Where one did
//! not know of a holder, it sent the prompt to the part's home in the belief that it was there, or had it
//! copied from there. So each part has an owner among the routers, the same for all who know the same
//! routers. Who has a part placed at a server that was not known to hold it tells the owner; who knows of no
//! holder asks it. Both cost one small datagram, however many routers there are.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::prompt::PartId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::server_profile::CallTime;

/// Prior of the time that an owner's answer takes, left with the first answers: a round trip to another
/// failure domain.
const ANSWER_PRIOR: Duration = Duration::from_millis(2);
/// Deviations by which an answer may be later than usual, as in the retransmission timer of TCP (RFC 6298).
const LATE_DEVIATIONS: f64 = 4.0;
/// Part of the time that the part takes to be read for which an answer is waited for at most. Where owners
/// are in another region, short parts are not worth a question.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Age of an unanswered question from which its owner counts as silent: longer than to another region.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an owner that did not answer is not asked again: a part of the time after which a router
/// that is gone is forgotten.
const SILENT_OWNER_BACKOFF: Duration = Duration::from_secs(1);
/// Shared tokens from which the owner is told of a holder: less is read within a few steps of an engine.
const MIN_ANNOUNCED_TOKENS: u64 = 1_000;
/// Time from its start until a router takes what it was not told of for held by nobody: until then others
/// may have told the owner of before.
pub const OWNER_LEARNING_DURATION: Duration = Duration::from_secs(10);

/// The owner of a part among `routers`, by rendezvous hashing: one that comes or goes moves only its own
/// parts.
pub fn part_owner(part: PartId, routers: impl IntoIterator<Item = IpAddr>) -> Option<IpAddr> {
    let weight = |router: &IpAddr| match router {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), part.0),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), part.0),
    };
    routers.into_iter().max_by_key(|router| (weight(router), *router))
}

/// Whether a part of so many tokens is worth telling its owner of, and asking for.
pub fn is_worth_announcing(shared_tokens: u64) -> bool {
    shared_tokens >= MIN_ANNOUNCED_TOKENS
}

/// How long answers of owners take, as this router has seen.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTimes(CallTime);

impl Default for AnswerTimes {
    fn default() -> Self {
        Self(CallTime::new(ANSWER_PRIOR))
    }
}

impl AnswerTimes {
    /// Takes in how long an answer took, also one that came too late.
    pub fn note(&mut self, took: Duration) {
        self.0.note(took);
    }

    /// How long to wait for an answer where the part takes `reading` to be read; `None` where it isn't
    /// worth a question.
    pub fn wait_budget(&self, prefill_time: Duration) -> Option<Duration> {
        let max_wait = prefill_time.mul_f64(MAX_WAIT_FRACTION);
        let usual = Duration::from_secs_f64(self.0.mean_ms() / 1_000.0);
        (usual <= max_wait).then(|| self.0.longer_than_usual(LATE_DEVIATIONS).min(max_wait))
    }
}

/// Owners that did not answer lately.
#[derive(Debug, Default)]
pub struct SilentOwners {
    until: HashMap<IpAddr, Instant>,
}

impl SilentOwners {
    /// Notes that an owner did not answer in time.
    pub fn note(&mut self, owner: IpAddr, now: Instant) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(owner, now + SILENT_OWNER_BACKOFF);
    }

    /// Whether an owner should be asked.
    pub fn allow(&self, owner: IpAddr, now: Instant) -> bool {
        self.until.get(&owner).is_none_or(|until| now >= *until)
    }
}
