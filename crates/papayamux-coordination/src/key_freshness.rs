//! Decides whether the known API keys are recent enough to be accepted.
//!
//! A revoked key must stop working within a bound, also at a router that is cut off from the source.
//! A router therefore accepts keys only while a completed read shows that its configuration was the
//! newest a short time ago. A pending watch proves nothing.

use std::time::Duration;

use papayamux_state::boot_time::BootInstant;

/// Maximum part of the revocation bound kept in reserve. A store that compacts its history may
/// answer watches without the newest changes for about a second before it closes them; the rest
/// covers timers that fire late.
pub const REVOCATION_RESERVE: Duration = Duration::from_millis(1_200);
/// Maximum fraction of the revocation bound kept in reserve. Without it, keys would never be accepted
/// under a short bound.
const MAX_RESERVED_FRACTION: f64 = 0.4;

/// Returns the maximum age of the configuration at which keys are accepted, for a revocation bound.
pub fn max_key_age(revoke_within: Duration) -> Duration {
    revoke_within
        .saturating_sub(REVOCATION_RESERVE.min(revoke_within.mul_f64(MAX_RESERVED_FRACTION)))
}

/// Tracks when the configuration was last confirmed, by its source or by other routers.
#[derive(Debug)]
pub struct KeyFreshness {
    max_age: Option<Duration>,
    confirmed: Option<BootInstant>,
    peer_confirmed: Option<BootInstant>,
}

impl KeyFreshness {
    /// Requires a confirmation within `revoke_within`, less a reserve. With `None`, keys of any age
    /// are accepted.
    pub fn new(revoke_within: Option<Duration>) -> Self {
        Self { max_age: revoke_within.map(max_key_age), confirmed: None, peer_confirmed: None }
    }

    /// Returns the maximum age at which keys are accepted, or `None` if there is no limit.
    pub fn max_age(&self) -> Option<Duration> {
        self.max_age
    }

    /// Records that a read sent at `sent`, by this router or by one that relayed the result, returned
    /// the newest configuration. The age counts from the sending, since the result may have been
    /// outdated when it arrived.
    pub fn confirm(&mut self, sent: BootInstant) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Records that another router knew the configuration to be the newest at `known`.
    pub fn confirm_by_peer(&mut self, known: BootInstant) {
        self.peer_confirmed = self.peer_confirmed.max(Some(known));
    }

    /// Returns the age of the last confirmation, by the source or by a peer.
    pub fn age(&self, now: BootInstant) -> Option<Duration> {
        self.confirmed.max(self.peer_confirmed).map(|known| now.since(known))
    }

    /// Returns whether keys may be accepted.
    pub fn is_fresh(&self, now: BootInstant) -> bool {
        self.is_within(self.age(now))
    }

    /// Returns whether keys may be accepted based on reads alone, this router's own or relayed ones,
    /// without freshness confirmations of peers.
    pub fn is_confirmed(&self, now: BootInstant) -> bool {
        self.is_within(self.confirmed.map(|sent| now.since(sent)))
    }

    fn is_within(&self, age: Option<Duration>) -> bool {
        match (self.max_age, age) {
            (None, _) => true,
            (Some(max_age), Some(age)) => age < max_age,
            (Some(_), None) => false,
        }
    }
}
