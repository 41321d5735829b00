//! What servers have said of themselves to this router, for as long as it counts.
//!
//! It is kept for a server's identifier, which names one start of it: neither its entry in the list of servers nor
//! another server at its address changes it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::backend::ServerNotice;
use papayamux_state::ids::ServerId;

/// The longest rest that is kept. A server that asks for more would be lost to a mistake of its own for the rest
/// of its life, and is asked again after this time.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// Servers beyond which those are forgotten whose rest is over, and those that have been leaving for longest.
const MAX_SERVERS: usize = 4_096;

/// Which servers leave, and how long others want nothing.
#[derive(Debug, Default)]
pub struct NoticeTable {
    backoff_until: HashMap<ServerId, Instant>,
    /// Since when servers leave that have said so.
    draining_since: HashMap<ServerId, Instant>,
}

impl NoticeTable {
    /// Takes in what a server said.
    pub fn record(&mut self, server: &ServerId, notice: ServerNotice, now: Instant) {
        if notice.leaves {
            self.record_draining(server, now);
        }
        if let Some(rest) = notice.rest {
            self.record_backoff(server, rest, now);
        }
    }

    /// A server that leaves doesn't stay: an answer without the word was made before it.
    fn record_draining(&mut self, server: &ServerId, now: Instant) {
        if self.draining_since.len() >= MAX_SERVERS && !self.is_draining(server) {
            let first = self.draining_since.iter().min_by_key(|(_, since)| **since);
            if let Some(first) = first.map(|(first, _)| first.clone()) {
                self.draining_since.remove(&first);
            }
        }
        self.draining_since.entry(server.clone()).or_insert(now);
    }

    /// Of several rests the one that ends last counts: answers may overtake one another.
    fn record_backoff(&mut self, server: &ServerId, rest: Duration, now: Instant) {
        if self.backoff_until.len() >= MAX_SERVERS {
            self.backoff_until.retain(|_, until| *until > now);
        }
        let until = now + rest.min(MAX_BACKOFF);
        let known = self.backoff_until.entry(server.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether a server has said that it leaves.
    pub fn is_draining(&self, server: &ServerId) -> bool {
        self.draining_since.contains_key(server)
    }

    /// How long a server still rests; nothing where it doesn't.
    pub fn backoff_left(&self, server: &ServerId, now: Instant) -> Option<Duration> {
        let until = self.backoff_until.get(server)?;
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }
}
