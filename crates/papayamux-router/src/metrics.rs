//! The router's metrics.

use papayamux_daemon::metrics::ReasonCounters;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// All metrics of a router.
#[derive(Debug, Clone, Default)]
pub struct RouterMetrics {
    /// Requests of callers.
    pub requests: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Refusals that agents gave, by reason.
    pub refusals: ReasonCounters,
    /// Failures told to callers, by code.
    pub failures: ReasonCounters,
    /// Requests offered to a further server, by reason.
    pub retries: ReasonCounters,
    /// Frames that matched no stream.
    pub stray_frames: Counter,
    /// Connections to agents that were lost, by reason.
    pub lost_links: ReasonCounters,
}

impl RouterMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("papayamux_router");
        registry.register("requests", "Requests of callers", self.requests.clone());
        registry.register("in_flight_requests", "Requests in flight", self.in_flight.clone());
        registry.register("refusals", "Refusals by agents", self.refusals.0.clone());
        registry.register("failures", "Failures told to callers", self.failures.0.clone());
        registry.register("retries", "Requests offered again", self.retries.0.clone());
        let stray = self.stray_frames.clone();
        registry.register("stray_frames", "Frames that matched no stream", stray);
        let lost = self.lost_links.0.clone();
        registry.register("lost_links", "Connections to agents that were lost", lost);
    }
}
