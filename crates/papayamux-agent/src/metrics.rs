//! The metrics of the agent.

use papayamux_daemon::metrics::{ControlBytes, ReasonCounters};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// All metrics of an agent.
#[derive(Debug, Clone, Default)]
pub struct AgentMetrics {
    /// Admitted requests.
    pub admitted: Counter,
    /// Requests that run at the backend server.
    pub running: Gauge,
    /// Refused requests, by reason.
    pub refusals: ReasonCounters,
    /// Claims granted to an attempt.
    pub claims_granted: Counter,
    /// Refused claims, by reason.
    pub claim_refusals: ReasonCounters,
    /// Retries answered with the answer of the first run.
    pub answers_recalled: Counter,
    /// Answers, by outcome.
    pub answers: ReasonCounters,
    /// Requests that were queued before they got a slot.
    pub queued: Counter,
    /// Reads of the engine's state, by kind: snapshot, gap or failure.
    pub cache_reads: ReasonCounters,
    /// Bytes of control messages, sent and received.
    pub control_bytes: ControlBytes,
    /// Open connections of routers.
    pub router_links: Gauge,
    /// Connections that were refused or failed, by reason.
    pub link_failures: ReasonCounters,
    /// Streams that routers asked to resume, by outcome.
    pub resumes: ReasonCounters,
    /// Streams of the server that were resumed, replaced or abandoned, by outcome.
    pub server_streams: ReasonCounters,
    /// Buffered bytes of answers.
    pub buffered_bytes: Gauge,
    /// Requests that were interrupted by the end of a drain.
    pub cut_requests: Counter,
}

impl AgentMetrics {
    /// Registers the metrics under the prefix `papayamux_agent`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("papayamux_agent");
        registry.register("admitted_requests", "Requests admitted", self.admitted.clone());
        registry.register("running_requests", "Requests not finished", self.running.clone());
        registry.register("refusals", "Requests refused", self.refusals.0.clone());
        let granted = self.claims_granted.clone();
        registry.register("claims_granted", "Keys granted to an attempt", granted);
        let claim_refusals = self.claim_refusals.0.clone();
        registry.register("claim_refusals", "Claims refused", claim_refusals);
        let recalled = self.answers_recalled.clone();
        registry.register("answers_recalled", "Repeats given the first answer", recalled);
        registry.register("answers", "Answers by how they ended", self.answers.0.clone());
        registry.register("queued_requests", "Requests that waited", self.queued.clone());
        let reads = self.cache_reads.0.clone();
        registry.register("cache_reads", "Readings of the engine's cache", reads);
        self.control_bytes.register(registry);
        registry.register("router_links", "Connections of routers", self.router_links.clone());
        let failures = self.link_failures.0.clone();
        registry.register("link_failures", "Connections refused or broken", failures);
        let resumes = self.resumes.0.clone();
        registry.register("resumes", "Streams asked for again, by outcome", resumes);
        let streams = self.server_streams.0.clone();
        registry.register("server_streams", "Server streams replaced or given up", streams);
        registry.register(
            "held_answer_bytes",
            "Bytes of answers held",
            self.buffered_bytes.clone(),
        );
        let cut = self.cut_requests.clone();
        registry.register("cut_requests", "Requests cut off by the end of a drain", cut);
    }
}
