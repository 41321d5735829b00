//! Servers whose entries are gone while they still finish their work.
//!
//! A server that drains before it departs has finished once its entry is gone. A server may also
//! depart by deleting its entry without a notice: it gets no new requests, but other engines can
//! still copy cached prompt parts from it until it terminates. If the entry was renewed shortly
//! before it disappeared, a live server deleted it. If it disappeared after a silence, the server
//! has crashed, and nothing can be copied from it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use papayamux_state::backend::{BackendServer, ServerPhase};
use papayamux_state::ids::{ServerId, ServiceId};

/// Minimum number of renewals that an expired entry has missed, of the three after which it
/// expires: one may have been in flight.
const MIN_MISSED_RENEWALS: u32 = 2;

/// How servers renew their entries and depart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DepartureBounds {
    /// The interval between two renewals of an entry.
    pub renewal_interval: Duration,
    /// The time for which a departed server still finishes its work.
    pub termination_grace: Duration,
}

/// Servers that have departed recently.
#[derive(Debug)]
pub struct RecentDepartures {
    bounds: DepartureBounds,
    renewed: HashMap<ServerId, Instant>,
    departed: Vec<(Rc<BackendServer>, Instant)>,
}

impl RecentDepartures {
    /// Creates a record without departures.
    pub fn new(bounds: DepartureBounds) -> Self {
        Self { bounds, renewed: HashMap::new(), departed: Vec::new() }
    }

    /// Records that a server has renewed its entry.
    pub fn record_renewal(&mut self, id: &ServerId, now: Instant) {
        self.renewed.insert(id.clone(), now);
        self.departed.retain(|(server, _)| server.id != *id);
    }

    /// Records that a server's entry is gone. Returns whether the server is assumed to be
    /// terminating.
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

    /// Records that a departed server is terminating, as another router has seen from its renewals.
    pub fn record_terminating(&mut self, server: &BackendServer, now: Instant) {
        self.renewed.remove(&server.id);
        let terminating = BackendServer { phase: ServerPhase::Draining, ..server.clone() };
        self.departed.push((Rc::new(terminating), now));
    }

    /// Returns whether a server has departed and is assumed to be terminating.
    pub fn is_terminating(&self, server: &BackendServer) -> bool {
        self.departed.iter().any(|(departed, _)| departed.id == server.id)
    }

    /// Forgets the renewals of a departed server.
    pub fn forget(&mut self, id: &ServerId) {
        self.renewed.remove(id);
    }

    /// Returns the departed servers of a service that can still be copied from.
    pub fn of_service(&self, service: &ServiceId, now: Instant) -> Vec<Rc<BackendServer>> {
        let is_terminating = |departed_at: Instant| {
            now.saturating_duration_since(departed_at) < self.bounds.termination_grace
        };
        let servers = self.departed.iter().filter(|(_, departed_at)| is_terminating(*departed_at));
        let servers = servers.map(|(server, _)| server);
        servers.filter(|server| server.service == *service).cloned().collect()
    }

    /// Removes and returns the servers that have terminated.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerId> {
        let termination_grace = self.bounds.termination_grace;
        let finished = self.departed.extract_if(.., |(_, departed_at)| {
            now.saturating_duration_since(*departed_at) >= termination_grace
        });
        finished.map(|(server, _)| server.id.clone()).collect()
    }
}
