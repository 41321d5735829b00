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
const LONGEST_REST: Duration = Duration::from_secs(300);
/// Servers beyond which those are forgotten whose rest is over, and those that have been leaving for longest.
const MOST_SERVERS: usize = 4_096;

/// Which servers leave, and how long others want nothing.
#[derive(Debug, Default)]
pub struct NoticeBook {
    rests_until: HashMap<ServerId, Instant>,
    /// Since when servers leave that have said so.
    leaves_since: HashMap<ServerId, Instant>,
}

impl NoticeBook {
    /// Takes in what a server said.
    pub fn note(&mut self, server: &ServerId, notice: ServerNotice, now: Instant) {
        if notice.leaves {
            self.note_leaving(server, now);
        }
        if let Some(rest) = notice.rest {
            self.note_rest(server, rest, now);
        }
    }

    /// A server that leaves doesn't stay: an answer without the word was made before it.
    fn note_leaving(&mut self, server: &ServerId, now: Instant) {
        if self.leaves_since.len() >= MOST_SERVERS && !self.leaves(server) {
            let first = self.leaves_since.iter().min_by_key(|(_, since)| **since);
            if let Some(first) = first.map(|(first, _)| first.clone()) {
                self.leaves_since.remove(&first);
            }
        }
        self.leaves_since.entry(server.clone()).or_insert(now);
    }

    /// Of several rests the one that ends last counts: answers may overtake one another.
    fn note_rest(&mut self, server: &ServerId, rest: Duration, now: Instant) {
        if self.rests_until.len() >= MOST_SERVERS {
            self.rests_until.retain(|_, until| *until > now);
        }
        let until = now + rest.min(LONGEST_REST);
        let known = self.rests_until.entry(server.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether a server has said that it leaves.
    pub fn leaves(&self, server: &ServerId) -> bool {
        self.leaves_since.contains_key(server)
    }

    /// How long a server still rests; nothing where it doesn't.
    pub fn rest_left(&self, server: &ServerId, now: Instant) -> Option<Duration> {
        let until = self.rests_until.get(server)?;
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }
}
