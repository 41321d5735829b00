//! The agent's metrics.

use papayamux_daemon::metrics::ReasonCounters;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// All metrics of an agent.
#[derive(Debug, Clone, Default)]
pub struct AgentMetrics {
    /// Requests admitted.
    pub admitted: Counter,
    /// Requests admitted and not finished.
    pub running: Gauge,
    /// Requests refused, by reason.
    pub refusals: ReasonCounters,
    /// Answers by how they ended.
    pub answers: ReasonCounters,
    /// Connections of routers.
    pub router_links: Gauge,
    /// Connections that were refused or broke, by reason.
    pub link_failures: ReasonCounters,
}

impl AgentMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("papayamux_agent");
        registry.register("admitted_requests", "Requests admitted", self.admitted.clone());
        registry.register("running_requests", "Requests not finished", self.running.clone());
        registry.register("refusals", "Requests refused", self.refusals.0.clone());
        registry.register("answers", "Answers by how they ended", self.answers.0.clone());
        registry.register("router_links", "Connections of routers", self.router_links.clone());
        let failures = self.link_failures.0.clone();
        registry.register("link_failures", "Connections refused or broken", failures);
    }
}
