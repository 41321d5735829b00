//! What routing knows, shared by all requests of a router.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use papayamux_coordination::retry_budget::RetryBudget;
use papayamux_coordination::server_evidence::{EvidenceKind, EvidenceTracker, ServerStanding};
use papayamux_state::ids::ServerId;

use super::baselines::RingCache;
use super::{LoadBook, RoutingPolicy};
use crate::directory::ServerRecord;
use crate::metrics::RouterMetrics;

/// What routing knows, shared by all requests of a router.
pub struct RoutePlanner {
    pub(super) policy: RoutingPolicy,
    loads: Rc<LoadBook>,
    pub(super) rings: RingCache,
    evidence: RefCell<EvidenceTracker>,
    retries: RetryBudget,
    metrics: RouterMetrics,
}

impl RoutePlanner {
    /// A planner that follows `policy`.
    pub fn new(policy: RoutingPolicy, loads: Rc<LoadBook>, metrics: RouterMetrics) -> Self {
        Self {
            policy,
            loads,
            rings: RingCache::default(),
            evidence: RefCell::default(),
            retries: RetryBudget::default(),
            metrics,
        }
    }

    /// The loads that servers reported.
    pub fn loads(&self) -> &Rc<LoadBook> {
        &self.loads
    }

    /// The budget for running requests again.
    pub fn retries(&self) -> &RetryBudget {
        &self.retries
    }

    pub(super) fn metrics(&self) -> &RouterMetrics {
        &self.metrics
    }

    /// Notes what was seen of a server.
    pub fn note_evidence(&self, server: &ServerId, kind: EvidenceKind) {
        self.metrics.evidence.count(kind.label());
        self.evidence.borrow_mut().record(server, kind, Instant::now());
    }

    /// Notes what came of a probe.
    pub(super) fn note_probe(&self, server: &ServerId, answered: bool) {
        self.metrics.probes.count(if answered { "answered" } else { "silent" });
        match answered {
            true => self.note_answer(server),
            false => self.note_evidence(server, EvidenceKind::Silent),
        }
    }

    /// Notes that a server answered.
    pub fn note_answer(&self, server: &ServerId) {
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
