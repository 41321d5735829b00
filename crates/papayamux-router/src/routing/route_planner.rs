//! The routing state that all requests of a router share.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::retry_budget::RetryBudget;
use papayamux_coordination::server_evidence::{EvidenceKind, EvidenceTracker, ServerStanding};
use papayamux_state::ids::ServerId;

use super::baselines::RingCache;
use super::{LoadTracker, RoutingPolicy};
use crate::directory::ServerRecord;
use crate::metrics::RouterMetrics;

/// Plans routes, and holds the routing state that all requests of a router share.
pub struct RoutePlanner {
    pub(super) policy: RoutingPolicy,
    loads: Rc<LoadTracker>,
    pub(super) rings: RingCache,
    evidence: RefCell<EvidenceTracker>,
    retries: RetryBudget,
    metrics: RouterMetrics,
}

impl RoutePlanner {
    /// Creates a planner that follows `policy`.
    pub fn new(policy: RoutingPolicy, loads: Rc<LoadTracker>, metrics: RouterMetrics) -> Self {
        Self {
            policy,
            loads,
            rings: RingCache::default(),
            evidence: RefCell::default(),
            retries: RetryBudget::default(),
            metrics,
        }
    }

    /// Returns the reported loads of the servers.
    pub fn loads(&self) -> &Rc<LoadTracker> {
        &self.loads
    }

    /// Returns the budget for retries of requests.
    pub fn retries(&self) -> &RetryBudget {
        &self.retries
    }

    pub(super) fn metrics(&self) -> &RouterMetrics {
        &self.metrics
    }

    /// Records evidence on the state of a server.
    pub fn record_evidence(&self, server: &ServerId, kind: EvidenceKind) {
        self.metrics.evidence.count(kind.label());
        self.evidence.borrow_mut().record(server, kind, Instant::now());
    }

    /// Records the outcome of a probe.
    pub(super) fn record_probe(&self, server: &ServerId, answered: bool) {
        self.metrics.probes.count(if answered { "answered" } else { "silent" });
        match answered {
            true => self.record_answer(server),
            false => self.record_evidence(server, EvidenceKind::Silent),
        }
    }

    /// Records that a server answered.
    pub fn record_answer(&self, server: &ServerId) {
        self.evidence.borrow_mut().record_answer(server, Instant::now());
    }

    pub(super) fn standing(&self, server: &ServerId, now: Instant) -> ServerStanding {
        self.evidence.borrow().standing(server, now)
    }

    pub(super) fn begin_trials(&self, records: &[Rc<ServerRecord>]) {
        let mut evidence = self.evidence.borrow_mut();
        for record in records {
            evidence.begin_trial(&record.entry.server, Instant::now());
        }
    }
}
