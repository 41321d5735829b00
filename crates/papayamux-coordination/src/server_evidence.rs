//! What a router has seen for itself of servers that fail, hang or leave.
//!
//! The evidence lowers a server for this router alone, and expires.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// The first time that a server is avoided after a failure.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// The longest time that a server is avoided.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time after which a failure counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// How long a server that is leaving is avoided; a later notice renews it.
const DRAINING_EJECTION: Duration = Duration::from_secs(3);
/// How long a server is avoided whose address another one has: longer than its entry lasts without it.
const DISPLACED_EJECTION: Duration = Duration::from_secs(30);
/// How long one request may take to try out a server whose hold has passed.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Unanswered probes in a row that count as one failure.
const SILENCES_PER_FAILURE: u32 = 2;
/// Servers beyond which expired evidence is forgotten.
const MAX_SERVERS: usize = 4_096;
/// How often the first hold is doubled at most.
const MAX_DOUBLINGS: f64 = 16.0;
/// Failures below which a server is neither held nor tried out.
const MIN_FAILURES: f64 = 0.75;

/// What was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceKind {
    /// No connection, or it was lost with a request on it.
    Unreachable,
    /// A probe was not answered in time, which a short stall explains too.
    Silent,
    /// The agent can't reach its server.
    ServerDown,
    /// The agent takes no new work.
    Draining,
    /// Another server has its address.
    Displaced,
}

impl EvidenceKind {
    /// The stable word for metrics.
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

/// How far a server can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerStanding {
    /// Nothing speaks against it.
    Good,
    /// Its hold has passed; one request at a time may try it out.
    HalfOpen,
    /// It is avoided while there are others.
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
    /// Notes what was seen of a server. Each failure after a return doubles the hold; failures of
    /// requests that were under way at the same time count once.
    pub fn record(&mut self, server: &ServerId, kind: EvidenceKind, now: Instant) {
        self.make_room(now);
        let fresh = ServerEvidence {
            failures: 0.0,
            silences: 0,
            updated_at: now,
            ejected_until: now,
            trial_until: None,
            recovered: true,
        };
        let evidence = self.servers.entry(server.clone()).or_insert(fresh);
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

    /// Notes that a server answered. Past failures still count for the length of the next hold.
    pub fn record_answer(&mut self, server: &ServerId, now: Instant) {
        if let Some(evidence) = self.servers.get_mut(server) {
            if now >= evidence.ejected_until {
                evidence.recovered = true;
                evidence.silences = 0;
                evidence.trial_until = None;
            }
        }
    }

    /// How far a server can be relied on at `now`.
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

    /// Lets one request try out a server that is on trial; the others go elsewhere meanwhile.
    pub fn begin_trial(&mut self, server: &ServerId, now: Instant) {
        if self.standing(server, now) == ServerStanding::HalfOpen {
            if let Some(evidence) = self.servers.get_mut(server) {
                evidence.trial_until = Some(now + TRIAL_TIMEOUT);
            }
        }
    }

    /// Forgets what has expired, once there is much of it.
    fn make_room(&mut self, now: Instant) {
        if self.servers.len() >= MAX_SERVERS {
            self.servers.retain(|_, evidence| {
                now < evidence.ejected_until || evidence.failures_at(now) >= MIN_FAILURES
            });
        }
    }
}
