//! Which servers are cold, and what this router has sent them lately.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// The span in which requests are counted: a second, and a little for timers that are late.
const COUNTING_WINDOW: Duration = Duration::from_millis(1_020);

/// What became of a server while it was cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdSummary {
    /// The server.
    pub server: ServerId,
    /// Requests that this router sent it.
    pub sent: u32,
    /// Choices that passed it over for want of room.
    pub passed_over: u32,
}

#[derive(Debug, Clone, Copy)]
struct ColdSpan {
    until: Instant,
    sent: u32,
    passed_over: u32,
}

/// Requests of this router at one server.
#[derive(Debug, Clone, Default)]
struct ServerSends {
    cold: Option<ColdSpan>,
    /// Requests that have chosen the server and were not sent yet.
    reserved: u32,
    sent: VecDeque<Instant>,
}

impl ServerSends {
    fn recent(&self, now: Instant) -> u32 {
        let recent = self.sent.iter().rev().take_while(|sent| is_recent(**sent, now)).count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        self.cold.is_none()
            && self.reserved == 0
            && self.sent.back().is_none_or(|sent| !is_recent(*sent, now))
    }
}

fn is_recent(sent: Instant, now: Instant) -> bool {
    now.saturating_duration_since(sent) < COUNTING_WINDOW
}

/// What is known of all servers with a limit.
#[derive(Debug, Clone, Default)]
pub struct ColdTracker {
    servers: HashMap<ServerId, ServerSends>,
}

impl ColdTracker {
    /// Notes how much longer a server is cold, as its entry says; whether it became cold. An entry is read
    /// some time after it was written, so that the server is never taken for warm too early.
    pub fn record_listed(&mut self, server: &ServerId, left: Duration, now: Instant) -> bool {
        match left.is_zero() {
            false => self.extend(server, now + left),
            true => {
                if let Some(cold) =
                    self.servers.get_mut(server).and_then(|sends| sends.cold.as_mut())
                {
                    cold.until = now;
                }
                false
            }
        }
    }

    /// Takes a server for cold until its next entry says more, for as long as starts take at the most.
    pub fn assume_cold(&mut self, server: &ServerId, max_duration: Duration, now: Instant) {
        if !max_duration.is_zero() {
            self.extend(server, now + max_duration);
        }
    }

    fn extend(&mut self, server: &ServerId, until: Instant) -> bool {
        let sends = self.servers.entry(server.clone()).or_default();
        match &mut sends.cold {
            Some(cold) => {
                cold.until = until;
                false
            }
            None => {
                sends.cold = Some(ColdSpan { until, sent: 0, passed_over: 0 });
                true
            }
        }
    }

    /// Whether a server is cold.
    pub fn is_cold(&self, server: &ServerId, now: Instant) -> bool {
        let cold = self.servers.get(server).and_then(|sends| sends.cold);
        cold.is_some_and(|cold| now < cold.until)
    }

    /// Servers that are cold.
    pub fn cold_count(&self, now: Instant) -> usize {
        let colds = self.servers.values().filter_map(|sends| sends.cold);
        colds.filter(|cold| now < cold.until).count()
    }

    /// Requests of this router that count against its share: those of the last second, and those that are
    /// about to be sent.
    pub fn used(&self, server: &ServerId, now: Instant) -> u32 {
        self.servers.get(server).map_or(0, |sends| sends.recent(now).saturating_add(sends.reserved))
    }

    /// Notes that a request has chosen a server.
    pub fn reserve(&mut self, server: &ServerId) {
        self.servers.entry(server.clone()).or_default().reserved += 1;
    }

    /// Notes that a request which had chosen a server goes elsewhere.
    pub fn release(&mut self, server: &ServerId) {
        if let Some(sends) = self.servers.get_mut(server) {
            sends.reserved = sends.reserved.saturating_sub(1);
        }
    }

    /// Notes that a request which had chosen a server is sent now.
    pub fn record_sent(&mut self, server: &ServerId, now: Instant) {
        let sends = self.servers.entry(server.clone()).or_default();
        sends.reserved = sends.reserved.saturating_sub(1);
        while sends.sent.front().is_some_and(|sent| !is_recent(*sent, now)) {
            sends.sent.pop_front();
        }
        sends.sent.push_back(now);
        if let Some(cold) = &mut sends.cold {
            cold.sent += 1;
        }
    }

    /// Notes that a choice passed a server over for want of room.
    pub fn record_passed_over(&mut self, server: &ServerId) {
        if let Some(cold) = self.servers.get_mut(server).and_then(|sends| sends.cold.as_mut()) {
            cold.passed_over += 1;
        }
    }

    /// Takes the servers that are no longer cold, and forgets those of which nothing matters.
    pub fn take_warmed(&mut self, now: Instant) -> Vec<ColdSummary> {
        let mut warmed = Vec::new();
        for (server, sends) in &mut self.servers {
            if let Some(cold) = sends.cold.take_if(|cold| now >= cold.until) {
                let ColdSpan { sent, passed_over, .. } = cold;
                warmed.push(ColdSummary { server: server.clone(), sent, passed_over });
            }
        }
        self.servers.retain(|_, sends| !sends.is_forgotten(now));
        warmed
    }
}
