//! The router's metrics.

use papayamux_daemon::metrics::{ControlBytes, ReasonCounters};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::caller_memory_metrics::CallerMemoryMetrics;

/// All metrics of a router.
#[derive(Debug, Clone, Default)]
pub struct RouterMetrics {
    /// Requests of callers.
    pub requests: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// The memory that callers hold.
    pub caller_memory: CallerMemoryMetrics,
    /// Refusals that agents gave, by reason.
    pub refusals: ReasonCounters,
    /// Failures returned to callers, by code.
    pub failures: ReasonCounters,
    /// Retries of requests, by reason.
    pub retries: ReasonCounters,
    /// Requests that were not retried because the retry budget was used up, by reason.
    pub retries_denied: ReasonCounters,
    /// Probes, by outcome.
    pub probes: ReasonCounters,
    /// Routing decisions, by the way they were made.
    pub decisions: ReasonCounters,
    /// Failure evidence against servers that this router observed itself, by kind.
    pub evidence: ReasonCounters,
    /// Bytes of control messages.
    pub control_bytes: ControlBytes,
    /// Bytes of requests that were sent and refused.
    pub refused_request_bytes: Counter,
    /// Frames that matched no stream.
    pub stray_frames: Counter,
    /// Connections to agents that were lost, by reason.
    pub lost_links: ReasonCounters,
    /// Connections to agents that could not be opened, by reason.
    pub failed_links: ReasonCounters,
    /// Streams of lost connections, by the outcome of their recovery.
    pub recoveries: ReasonCounters,
    /// Answers that callers asked to resume, by outcome.
    pub caller_resumes: ReasonCounters,
    /// Truncated answers, by reason.
    pub cut_answers: ReasonCounters,
    /// Connections of callers that were refused, by reason.
    pub refused_callers: ReasonCounters,
    /// Requests that were cut off at the end of a drain.
    pub cut_requests: Counter,
}

impl RouterMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("papayamux_router");
        self.caller_memory.register(registry);
        registry.register("requests", "Requests of callers", self.requests.clone());
        registry.register("in_flight_requests", "Requests in flight", self.in_flight.clone());
        registry.register("refusals", "Refusals by agents", self.refusals.0.clone());
        registry.register("failures", "Failures told to callers", self.failures.0.clone());
        registry.register("retries", "Requests offered again", self.retries.0.clone());
        let denied = self.retries_denied.0.clone();
        registry.register("retries_denied", "Requests not offered again", denied);
        registry.register("probes", "Probes by outcome", self.probes.0.clone());
        registry.register("decisions", "Decisions by way", self.decisions.0.clone());
        registry.register("evidence", "Evidence against servers", self.evidence.0.clone());
        self.control_bytes.register(registry);
        let bytes = self.refused_request_bytes.clone();
        registry.register("refused_request_bytes", "Requests sent and refused, in bytes", bytes);
        let stray = self.stray_frames.clone();
        registry.register("stray_frames", "Frames that matched no stream", stray);
        let lost = self.lost_links.0.clone();
        registry.register("lost_links", "Connections to agents that were lost", lost);
        let failed = self.failed_links.0.clone();
        registry.register("failed_links", "Connections to agents that did not open", failed);
        let recoveries = self.recoveries.0.clone();
        registry.register("recoveries", "Streams of lost connections", recoveries);
        let resumes = self.caller_resumes.0.clone();
        registry.register("caller_resumes", "Answers callers went on with", resumes);
        registry.register("cut_answers", "Answers that were cut off", self.cut_answers.0.clone());
        let refused = self.refused_callers.0.clone();
        registry.register("refused_callers", "Connections of callers refused", refused);
        let cut = self.cut_requests.clone();
        registry.register("cut_requests", "Requests cut off by the end of a drain", cut);
    }
}
