//! Which router is asked who holds a shared part of prompts.
//!
//! Routers can't tell all others of every part that they place: that grows with the fleet. Where one did
//! not know of a holder, it sent the prompt to the part's home in the belief that it was there, or had it
//! copied from there. Half of the shared tokens that 68 routers had read again on a day of high load went
//! so, 4.0 of 5.6 million by their logs. So each part has an owner among the routers, the same for all who
//! know the same routers. Who has a part placed at a server that was not known to hold it tells the owner;
//! who knows of no holder asks it. Both cost one small datagram, however many routers there are.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::prompt::PartId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long an owner's answer is waited for: two round trips between failure domains and the time of a
/// busy router. To read a part of a thousand tokens takes longer.
pub const ASK_WITHIN: Duration = Duration::from_millis(8);
/// How long an owner that did not answer is not asked again: a part of the time after which a router
/// that is gone is forgotten.
const SILENT_FOR: Duration = Duration::from_secs(1);
/// Shared tokens from which it is worth asking: reading them takes some ten times as long as the answer.
const WORTH_ASKING: u64 = 1_000;
/// Time from its start until a router takes what it was not told of for held by nobody: until then others
/// may have told the owner of before.
pub const OWNER_LEARNS_FOR: Duration = Duration::from_secs(10);

/// The owner of a part among `routers`, by rendezvous hashing: one that comes or goes moves only its own
/// parts.
pub fn part_owner(part: PartId, routers: impl IntoIterator<Item = IpAddr>) -> Option<IpAddr> {
    let weight = |router: &IpAddr| match router {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), part.0),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), part.0),
    };
    routers.into_iter().max_by_key(|router| (weight(router), *router))
}

/// Whether so many shared tokens, of which no holder is known, are worth a question.
pub fn is_worth_asking(shared_tokens: u64) -> bool {
    shared_tokens >= WORTH_ASKING
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
        self.until.insert(owner, now + SILENT_FOR);
    }

    /// Whether an owner should be asked.
    pub fn allow(&self, owner: IpAddr, now: Instant) -> bool {
        self.until.get(&owner).is_none_or(|until| now >= *until)
    }
}
