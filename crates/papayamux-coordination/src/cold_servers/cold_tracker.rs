//! The servers that are cold, and the requests that this router has recently sent to them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use papayamux_state::durations::saturating_after;
use papayamux_state::ids::ServerId;

/// Window in which requests are counted: a second, plus a margin for late timers.
const COUNTING_WINDOW: Duration = Duration::from_millis(1_020);

/// What a router sent to a server while it was cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdSummary {
    /// The server.
    pub server: ServerId,
    /// Number of requests that this router sent to it.
    pub sent: u32,
    /// Number of placement decisions that passed it over because its quota was used up.
    pub passed_over: u32,
}

#[derive(Debug, Clone, Copy)]
struct ColdSpan {
    until: Instant,
    sent: u32,
    passed_over: u32,
}

/// Requests that this router sends to one server.
#[derive(Debug, Clone, Default)]
struct ServerSends {
    cold: Option<ColdSpan>,
    /// Number of requests placed on the server that are not sent yet.
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

/// The cold state and the recent requests of all servers with a limit.
#[derive(Debug, Clone, Default)]
pub struct ColdTracker {
    servers: HashMap<ServerId, ServerSends>,
}

impl ColdTracker {
    /// Sets the remaining cold time of a server from its entry, and returns whether the server
    /// became cold. An entry is read some time after it was written, so that the cold time never
    /// ends too early.
    pub fn record_listed(&mut self, server: &ServerId, left: Duration, now: Instant) -> bool {
        match left.is_zero() {
            false => self.extend(server, saturating_after(now, left)),
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

    /// Assumes that a server is cold until its next entry, for at most the duration of a cold
    /// start.
    pub fn assume_cold(&mut self, server: &ServerId, max_duration: Duration, now: Instant) {
        if !max_duration.is_zero() {
            self.extend(server, saturating_after(now, max_duration));
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

    /// Returns whether a server is cold.
    pub fn is_cold(&self, server: &ServerId, now: Instant) -> bool {
        let cold = self.servers.get(server).and_then(|sends| sends.cold);
        cold.is_some_and(|cold| now < cold.until)
    }

    /// Returns the number of cold servers.
    pub fn cold_count(&self, now: Instant) -> usize {
        let colds = self.servers.values().filter_map(|sends| sends.cold);
        colds.filter(|cold| now < cold.until).count()
    }

    /// Returns the number of requests that count against this router's share: those sent within the
    /// last second, and those about to be sent.
    pub fn used(&self, server: &ServerId, now: Instant) -> u32 {
        self.servers.get(server).map_or(0, |sends| sends.recent(now).saturating_add(sends.reserved))
    }

    /// Records that a request is placed on a server.
    pub fn reserve(&mut self, server: &ServerId) {
        self.servers.entry(server.clone()).or_default().reserved += 1;
    }

    /// Records that a request placed on a server goes to another one.
    pub fn release(&mut self, server: &ServerId) {
        if let Some(sends) = self.servers.get_mut(server) {
            sends.reserved = sends.reserved.saturating_sub(1);
        }
    }

    /// Records that a request placed on a server is sent.
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

    /// Records that a placement decision passed over a server because its quota was used up.
    pub fn record_passed_over(&mut self, server: &ServerId) {
        if let Some(cold) = self.servers.get_mut(server).and_then(|sends| sends.cold.as_mut()) {
            cold.passed_over += 1;
        }
    }

    /// Removes and returns the servers that are no longer cold, and drops state that is no longer
    /// needed.
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
