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
/// Servers beyond which those whose word no longer counts are forgotten.
const MOST_SERVERS: usize = 4_096;

/// How long servers want nothing.
#[derive(Debug, Default)]
pub struct NoticeBook {
    rests_until: HashMap<ServerId, Instant>,
}

impl NoticeBook {
    /// Takes in what a server said. Of several rests the one that ends last counts: answers may overtake one another.
    pub fn note(&mut self, server: &ServerId, notice: ServerNotice, now: Instant) {
        let Some(rest) = notice.rest else { return };
        if self.rests_until.len() >= MOST_SERVERS {
            self.rests_until.retain(|_, until| *until > now);
        }
        let until = now + rest.min(LONGEST_REST);
        let known = self.rests_until.entry(server.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// How long a server still rests; nothing where it doesn't.
    pub fn rest_left(&self, server: &ServerId, now: Instant) -> Option<Duration> {
        let until = self.rests_until.get(server)?;
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }
}
