//! Detects servers that have become silent with requests in flight.
//!
//! A server that has lost its power or its link closes no connection. It differs from a busy server
//! in that nothing arrives on any of its connections while other servers respond.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// Maximum time since the last contact with another server. If there was none, the router itself is
/// the cause: its process was paused or its link is down.
const OTHERS_CONTACT_TIMEOUT: Duration = Duration::from_millis(150);
/// Minimum silence, as a multiple of the median silence of the servers. If all servers become slow
/// at once, each of them exceeds its learned pace before the new pace is learned, and requests
/// would leave working engines for others that are just as slow.
const SILENCE_FACTOR: f64 = 4.0;
/// Minimum number of servers with requests in flight for a median.
const MIN_SERVERS: usize = 3;

#[derive(Debug, Clone, Copy)]
struct ServerLiveness {
    pending: u32,
    silent_since: Instant,
}

/// The last contact with the servers of one service.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    servers: HashMap<ServerId, ServerLiveness>,
    last_contact: Option<(ServerId, Instant)>,
    last_other_contact: Option<Instant>,
}

impl LivenessTracker {
    /// Records that a request was sent to `server` and awaits an answer.
    pub fn begin(&mut self, server: &ServerId, now: Instant) {
        let initial = ServerLiveness { pending: 0, silent_since: now };
        let liveness = self.servers.entry(server.clone()).or_insert(initial);
        if liveness.pending == 0 {
            liveness.silent_since = now;
        }
        liveness.pending += 1;
    }

    /// Records that one request no longer awaits anything.
    pub fn end(&mut self, server: &ServerId) {
        if let Some(liveness) = self.servers.get_mut(server) {
            liveness.pending = liveness.pending.saturating_sub(1);
            if liveness.pending == 0 {
                self.servers.remove(server);
            }
        }
    }

    /// Records that data has arrived from `server`.
    pub fn record_contact(&mut self, server: &ServerId, now: Instant) {
        if let Some(liveness) = self.servers.get_mut(server) {
            liveness.silent_since = now;
        }
        match &mut self.last_contact {
            Some((last, contact_at)) if last == server => *contact_at = now,
            last => {
                self.last_other_contact =
                    last.take().map(|(_, contact_at)| contact_at).max(self.last_other_contact);
                *last = Some((server.clone(), now));
            }
        }
    }

    /// Returns the minimum silence that counts against a server: a multiple of the median silence
    /// of the servers that have requests in flight.
    pub fn silence_threshold(&self, now: Instant) -> Duration {
        let silences = self.servers.values();
        let mut silences: Vec<_> =
            silences.map(|liveness| now.saturating_duration_since(liveness.silent_since)).collect();
        if silences.len() < MIN_SERVERS {
            return Duration::ZERO;
        }
        let middle = silences.len() / 2;
        let (_, median, _) = silences.select_nth_unstable(middle);
        median.mul_f64(SILENCE_FACTOR)
    }

    /// Returns how long `server` has been silent with requests in flight, or `None` if no other
    /// server was in contact meanwhile.
    pub fn silence(&self, server: &ServerId, now: Instant) -> Option<Duration> {
        let liveness = self.servers.get(server)?;
        let silence = now.saturating_duration_since(liveness.silent_since);
        let other = match &self.last_contact {
            Some((last, contact_at)) if last != server => Some(*contact_at),
            _ => self.last_other_contact,
        };
        let others_live = other.is_some_and(|contact_at| {
            now.saturating_duration_since(contact_at) < OTHERS_CONTACT_TIMEOUT
        });
        others_live.then_some(silence)
    }
}
