//! Whether the known API keys are recent enough to let anybody in.
//!
//! A key that was taken away must stop working within a bound, also at a router that can no
//! longer hear of it. So a router serves keys only while it knows, by a read that came back, that
//! its configuration was the newest not long ago. A watch that still waits proves nothing.

use std::time::Duration;

use papayamux_state::boot_time::BootInstant;

/// The most of the revocation bound that is kept in reserve. A store that compacts its history may
/// answer watches without the newest changes for about a second before it cuts them; the rest is
/// for timers that fire late.
pub const REVOCATION_RESERVE: Duration = Duration::from_millis(1_200);
/// The most of a short bound that is kept in reserve, so that keys work at all.
const MAX_RESERVED_FRACTION: f64 = 0.4;

/// The longest age of the configuration at which keys are accepted, for a bound on revocation.
pub fn max_key_age(revoke_within: Duration) -> Duration {
    revoke_within
        .saturating_sub(REVOCATION_RESERVE.min(revoke_within.mul_f64(MAX_RESERVED_FRACTION)))
}

/// Confirmation of the configuration, by its source or by other routers.
#[derive(Debug)]
pub struct KeyFreshness {
    max_age: Option<Duration>,
    confirmed: Option<BootInstant>,
    peer_confirmed: Option<BootInstant>,
}

impl KeyFreshness {
    /// Keys must be confirmed within `revoke_within` less a reserve; `None` lets keys be used
    /// however old they are.
    pub fn new(revoke_within: Option<Duration>) -> Self {
        Self { max_age: revoke_within.map(max_key_age), confirmed: None, peer_confirmed: None }
    }

    /// The longest age at which keys are accepted; `None` where any is.
    pub fn max_age(&self) -> Option<Duration> {
        self.max_age
    }

    /// Notes that a read which was sent at `sent` returned the newest configuration, to this router or
    /// to one that passed it on. What it returned may have been current only at that moment, not when
    /// it arrived.
    pub fn confirm(&mut self, sent: BootInstant) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Notes that another router knew the configuration to be the newest at `known`.
    pub fn confirm_by_peer(&mut self, known: BootInstant) {
        self.peer_confirmed = self.peer_confirmed.max(Some(known));
    }

    /// How old the last confirmation is, whoever gave it.
    pub fn age(&self, now: BootInstant) -> Option<Duration> {
        self.confirmed.max(self.peer_confirmed).map(|known| now.since(known))
    }

    /// When the configuration and the servers were known to be the newest.
    pub fn confirmed(&self) -> Option<BootInstant> {
        self.confirmed
    }

    /// Whether a key may be accepted.
    pub fn is_fresh(&self, now: BootInstant) -> bool {
        self.is_within(self.age(now))
    }

    /// Whether a key may be accepted by what this router has read itself, or was told with all that a
    /// read returns.
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
