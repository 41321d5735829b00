//! Servers whose entries are gone while they still finish their work.
//!
//! A server that drains before it leaves has ended once its entry is gone. One may also leave by
//! deleting its entry without a notice: it gets nothing new, but other engines can still copy parts
//! of prompts from it until it ends. An entry that was renewed shortly before it went was deleted by
//! a server that lives; one that went after a silence belongs to a server that crashed, from which
//! nothing can be copied.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServiceId};

/// Renewals that a lapsed entry has missed at least, of the three after which it lapses: one may
/// have been under way.
const MIN_MISSED_RENEWALS: u32 = 2;

/// How servers renew their entries and leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DepartureBounds {
    /// The pause between two renewals of an entry.
    pub renewal_interval: Duration,
    /// How long a server that has left still finishes its work.
    pub termination_grace: Duration,
}

/// Servers that have left lately.
#[derive(Debug)]
pub struct RecentDepartures {
    bounds: DepartureBounds,
    renewed: HashMap<ServerId, Instant>,
    departed: Vec<(Rc<BackendServer>, Instant)>,
}

impl RecentDepartures {
    /// No departures so far.
    pub fn new(bounds: DepartureBounds) -> Self {
        Self { bounds, renewed: HashMap::new(), departed: Vec::new() }
    }

    /// Notes that a server renewed its entry.
    pub fn record_renewal(&mut self, id: &ServerId, now: Instant) {
        self.renewed.insert(id.clone(), now);
        self.departed.retain(|(server, _)| server.id != *id);
    }

    /// Notes that a server's entry is gone; whether the server is believed to live on for a while.
    pub fn record_departure(&mut self, server: &BackendServer, now: Instant) -> bool {
        let renewed = self.renewed.remove(&server.id);
        let silence = renewed.map(|renewed| now.saturating_duration_since(renewed));
        let max_silence = self.bounds.renewal_interval * MIN_MISSED_RENEWALS;
        let is_alive = server.phase == ServerPhase::Serving
            && silence.is_some_and(|silence| silence < max_silence);
        if is_alive {
            self.record_terminating(server, now);
        }
        is_alive
    }

    /// Notes that a server has left and lives on for a while, as another router saw by its renewals.
    pub fn record_terminating(&mut self, server: &BackendServer, now: Instant) {
        self.renewed.remove(&server.id);
        let terminating = BackendServer { phase: ServerPhase::Draining, ..server.clone() };
        self.departed.push((Rc::new(terminating), now));
    }

    /// Whether a server has left and is believed to live on.
    pub fn is_terminating(&self, server: &BackendServer) -> bool {
        self.departed.iter().any(|(departed, _)| departed.id == server.id)
    }

    /// Forgets a server that is gone for good.
    pub fn forget(&mut self, id: &ServerId) {
        self.renewed.remove(id);
    }

    /// The servers of a service that have left and may still be copied from.
    pub fn of_service(&self, service: &ServiceId, now: Instant) -> Vec<Rc<BackendServer>> {
        let is_terminating = |departed_at: Instant| {
            now.saturating_duration_since(departed_at) < self.bounds.termination_grace
        };
        let servers = self.departed.iter().filter(|(_, departed_at)| is_terminating(*departed_at));
        let servers = servers.map(|(server, _)| server);
        servers.filter(|server| server.service == *service).cloned().collect()
    }

    /// Forgets servers that have ended; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerId> {
        let termination_grace = self.bounds.termination_grace;
        let finished = self.departed.extract_if(.., |(_, departed_at)| {
            now.saturating_duration_since(*departed_at) >= termination_grace
        });
        finished.map(|(server, _)| server.id.clone()).collect()
    }
}
