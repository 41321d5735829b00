//! Metrics of the memory that callers hold.

use papayamux_transport::http::CallerMemory;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges and counters that follow a [`CallerMemory`].
#[derive(Debug, Clone, Default)]
pub struct CallerMemoryMetrics {
    held: Gauge,
    limit: Gauge,
    evicted: Counter,
    refused: Counter,
}

impl CallerMemoryMetrics {
    /// Registers all metrics in a registry whose prefix names the program.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "caller_memory_bytes",
            "Bytes that callers make the router hold",
            self.held.clone(),
        );
        registry.register(
            "caller_memory_limit_bytes",
            "Limit of the bytes that callers make the router hold",
            self.limit.clone(),
        );
        registry.register(
            "evicted_callers",
            "Callers whose connection or request was given up for want of memory or connections",
            self.evicted.clone(),
        );
        registry.register(
            "refused_caller_memory",
            "Claims of memory for callers that were refused",
            self.refused.clone(),
        );
    }

    /// Takes over the present figures.
    pub fn update(&self, memory: &CallerMemory) {
        let usage = memory.usage();
        let gauge = |bytes: u64| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.held.set(gauge(usage.held.get()));
        self.limit.set(gauge(memory.limits().total.get()));
        self.evicted.inc_by(usage.evicted.saturating_sub(self.evicted.get()));
        self.refused.inc_by(usage.refused.saturating_sub(self.refused.get()));
    }
}
