//! Which servers have gone silent with requests under way.
//!
//! A server that lost its power or its link closes no connection. It is told from a busy one by
//! hearing nothing on any of its connections while others are heard.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// How recently another server must have been heard. Where none was, the silence is our own: a
/// paused process, or a link that is cut.
const OTHERS_CONTACT_TIMEOUT: Duration = Duration::from_millis(150);
/// How many times as long as is usual among the servers at the moment a silence has to last. Where all
/// have become slow at once, each one's silence is long before what is learnt of their pace tells so, and
/// requests would leave engines that are at work for others just as slow.
const SILENCE_FACTOR: f64 = 4.0;
/// Servers with requests under way from which something is usual.
const MIN_SERVERS: usize = 3;

#[derive(Debug, Clone, Copy)]
struct ServerLiveness {
    pending: u32,
    waiting_since: Instant,
}

/// When servers were last heard, for one service.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    servers: HashMap<ServerId, ServerLiveness>,
    last_contact: Option<(ServerId, Instant)>,
    last_other_contact: Option<Instant>,
}

impl LivenessTracker {
    /// Notes that a request was sent to `server` and an answer is awaited.
    pub fn begin(&mut self, server: &ServerId, now: Instant) {
        let fresh = ServerLiveness { pending: 0, waiting_since: now };
        let liveness = self.servers.entry(server.clone()).or_insert(fresh);
        if liveness.pending == 0 {
            liveness.waiting_since = now;
        }
        liveness.pending += 1;
    }

    /// Notes that nothing more is awaited for one request.
    pub fn end(&mut self, server: &ServerId) {
        if let Some(liveness) = self.servers.get_mut(server) {
            liveness.pending = liveness.pending.saturating_sub(1);
            if liveness.pending == 0 {
                self.servers.remove(server);
            }
        }
    }

    /// Notes that something arrived from `server`.
    pub fn record_contact(&mut self, server: &ServerId, now: Instant) {
        if let Some(liveness) = self.servers.get_mut(server) {
            liveness.waiting_since = now;
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

    /// The least silence that sets a server apart from the others: a few times the median of those
    /// that owe a sign of life.
    pub fn silence_threshold(&self, now: Instant) -> Duration {
        let silences = self.servers.values();
        let mut silences: Vec<_> = silences
            .map(|liveness| now.saturating_duration_since(liveness.waiting_since))
            .collect();
        if silences.len() < MIN_SERVERS {
            return Duration::ZERO;
        }
        let middle = silences.len() / 2;
        let (_, median, _) = silences.select_nth_unstable(middle);
        median.mul_f64(SILENCE_FACTOR)
    }

    /// How long `server` has owed a sign of life while another server gave one.
    pub fn silence(&self, server: &ServerId, now: Instant) -> Option<Duration> {
        let liveness = self.servers.get(server)?;
        let silence = now.saturating_duration_since(liveness.waiting_since);
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
