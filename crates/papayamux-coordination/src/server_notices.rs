//! What servers have reported of themselves to this router.
//!
//! A notice is kept under the server's identifier, which names one start of it. Neither the
//! server's entry in the list nor another server at its address changes it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::backend::ServerNotice;
use papayamux_state::ids::ServerId;

/// Maximum back-off that is kept. Without this bound, a server that requested too much by mistake
/// would get no requests until it restarts; with it, the server is tried again after this time.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// Number of servers from which on a new entry first removes the expired back-offs, or the server
/// that has been draining longest.
const MAX_SERVERS: usize = 4_096;

/// The servers that are draining, and those that requested a back-off.
#[derive(Debug, Default)]
pub struct NoticeTable {
    backoff_until: HashMap<ServerId, Instant>,
    /// The time at which each server first announced that it is draining.
    draining_since: HashMap<ServerId, Instant>,
}

impl NoticeTable {
    /// Records the notice of a server.
    pub fn record(&mut self, server: &ServerId, notice: ServerNotice, now: Instant) {
        if notice.is_draining {
            self.record_draining(server, now);
        }
        if let Some(backoff) = notice.backoff {
            self.record_backoff(server, backoff, now);
        }
    }

    /// Records that a server is draining. Draining is final: an answer without the notice was sent
    /// before it.
    fn record_draining(&mut self, server: &ServerId, now: Instant) {
        if self.draining_since.len() >= MAX_SERVERS && !self.is_draining(server) {
            let first = self.draining_since.iter().min_by_key(|(_, since)| **since);
            if let Some(first) = first.map(|(first, _)| first.clone()) {
                self.draining_since.remove(&first);
            }
        }
        self.draining_since.entry(server.clone()).or_insert(now);
    }

    /// Records a back-off. Of several, the one that ends last counts, since answers may overtake each
    /// other.
    fn record_backoff(&mut self, server: &ServerId, backoff: Duration, now: Instant) {
        if self.backoff_until.len() >= MAX_SERVERS {
            self.backoff_until.retain(|_, until| *until > now);
        }
        let until = now + backoff.min(MAX_BACKOFF);
        let known = self.backoff_until.entry(server.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Returns whether a server has announced that it is draining.
    pub fn is_draining(&self, server: &ServerId) -> bool {
        self.draining_since.contains_key(server)
    }

    /// Returns the remaining back-off of a server, or `None` if there is none.
    pub fn backoff_left(&self, server: &ServerId, now: Instant) -> Option<Duration> {
        let until = self.backoff_until.get(server)?;
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }
}
