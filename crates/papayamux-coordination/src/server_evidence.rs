//! Failure evidence: what a router has itself observed of servers that fail, hang or drain.
//!
//! The evidence ejects a server for this router alone, and expires.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// Duration of the first ejection after a failure.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Half-life of failures.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Duration for which a draining server is ejected; a later notice renews it.
const DRAINING_EJECTION: Duration = Duration::from_secs(3);
/// Duration for which a server is ejected whose address belongs to another one: longer than its
/// entry lasts without renewal.
const DISPLACED_EJECTION: Duration = Duration::from_secs(30);
/// Time that one request has for a half-open trial before another one may try.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Consecutive unanswered probes that count as one failure.
const SILENCES_PER_FAILURE: u32 = 2;
/// Number of servers at which expired evidence is removed.
const MAX_SERVERS: usize = 4_096;
/// Maximum number of times that the first ejection is doubled.
const MAX_DOUBLINGS: f64 = 16.0;
/// Failure count below which a server is neither ejected nor half-open.
const MIN_FAILURES: f64 = 0.75;

/// The kind of evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceKind {
    /// The connection failed, or was lost during a request.
    Unreachable,
    /// A probe was not answered in time, which may also be a short stall.
    Silent,
    /// The agent can't reach its server.
    ServerDown,
    /// The agent refuses new requests.
    Draining,
    /// Another server has its address.
    Displaced,
}

impl EvidenceKind {
    /// Returns the stable label for metrics.
    pub fn label(self) -> &'static str {
        match self {
            EvidenceKind::Unreachable => "unreachable",
            EvidenceKind::Silent => "silent",
            EvidenceKind::ServerDown => "server_down",
            EvidenceKind::Draining => "leaving",
            EvidenceKind::Displaced => "displaced",
        }
    }
}

/// The ejection state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerStanding {
    /// There is no evidence against the server.
    Good,
    /// The ejection has passed, and one request at a time may try the server.
    HalfOpen,
    /// The server is avoided while others are available.
    Ejected,
}

#[derive(Debug, Clone, Copy)]
struct ServerEvidence {
    failures: f64,
    silences: u32,
    updated_at: Instant,
    ejected_until: Instant,
    trial_until: Option<Instant>,
    recovered: bool,
}

impl ServerEvidence {
    fn failures_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.failures * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// The evidence on all servers of a router.
#[derive(Debug, Default)]
pub struct EvidenceTracker {
    servers: HashMap<ServerId, ServerEvidence>,
}

impl EvidenceTracker {
    /// Records evidence on a server. Each failure after a recovery doubles the ejection. Failures
    /// of concurrent requests count once.
    pub fn record(&mut self, server: &ServerId, kind: EvidenceKind, now: Instant) {
        self.make_room(now);
        let initial = ServerEvidence {
            failures: 0.0,
            silences: 0,
            updated_at: now,
            ejected_until: now,
            trial_until: None,
            recovered: true,
        };
        let evidence = self.servers.entry(server.clone()).or_insert(initial);
        let announced = match kind {
            EvidenceKind::Draining => Some(DRAINING_EJECTION),
            EvidenceKind::Displaced => Some(DISPLACED_EJECTION),
            _ => None,
        };
        if let Some(ejection) = announced {
            evidence.ejected_until = evidence.ejected_until.max(now + ejection);
            return;
        }
        if now < evidence.ejected_until {
            return;
        }
        evidence.silences += u32::from(kind == EvidenceKind::Silent);
        if kind == EvidenceKind::Silent && evidence.silences < SILENCES_PER_FAILURE {
            return;
        }
        evidence.failures = evidence.failures_at(now) + 1.0;
        evidence.silences = 0;
        evidence.updated_at = now;
        evidence.trial_until = None;
        let doublings = (evidence.failures - 1.0).clamp(0.0, MAX_DOUBLINGS);
        evidence.ejected_until = now + FIRST_EJECTION.mul_f64(doublings.exp2()).min(MAX_EJECTION);
        evidence.recovered = false;
    }

    /// Records that a server has answered. Past failures still lengthen the next ejection.
    pub fn record_answer(&mut self, server: &ServerId, now: Instant) {
        if let Some(evidence) = self.servers.get_mut(server) {
            if now >= evidence.ejected_until {
                evidence.recovered = true;
                evidence.silences = 0;
                evidence.trial_until = None;
            }
        }
    }

    /// Returns the ejection state of a server at `now`.
    pub fn standing(&self, server: &ServerId, now: Instant) -> ServerStanding {
        let Some(evidence) = self.servers.get(server) else {
            return ServerStanding::Good;
        };
        if now < evidence.ejected_until {
            return ServerStanding::Ejected;
        }
        if evidence.recovered || evidence.failures_at(now) < MIN_FAILURES {
            return ServerStanding::Good;
        }
        match evidence.trial_until.is_some_and(|until| now < until) {
            true => ServerStanding::Ejected,
            false => ServerStanding::HalfOpen,
        }
    }

    /// Starts the trial of a half-open server by one request. Other requests avoid the server
    /// meanwhile.
    pub fn begin_trial(&mut self, server: &ServerId, now: Instant) {
        if self.standing(server, now) == ServerStanding::HalfOpen {
            if let Some(evidence) = self.servers.get_mut(server) {
                evidence.trial_until = Some(now + TRIAL_TIMEOUT);
            }
        }
    }

    /// Removes expired evidence once there are many servers.
    fn make_room(&mut self, now: Instant) {
        if self.servers.len() >= MAX_SERVERS {
            self.servers.retain(|_, evidence| {
                now < evidence.ejected_until || evidence.failures_at(now) >= MIN_FAILURES
            });
        }
    }
}
