//! Metrics of the spread of files.

use papayamux_daemon::metrics::ReasonCounters;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// All metrics of the spread.
#[derive(Debug, Clone, Default)]
pub struct SpreadMetrics {
    /// The highest revision held.
    pub revision: Gauge,
    /// Seconds since a reading of the service that what is held reflects; -1 for none.
    pub age_seconds: Gauge,
    /// The lower 32 bits of the digest of what is held.
    pub digest: Gauge,
    /// Files held.
    pub files: Gauge,
    /// Bytes of text held.
    pub file_bytes: Gauge,
    /// Files whose newest version is refused.
    pub refused_files: Gauge,
    /// Connections to and from peers.
    pub peer_links: Gauge,
    /// Processes heard lately.
    pub known_peers: Gauge,
    /// Whether this process watches the service.
    pub watching: Gauge,
    /// Calls to the service, by kind.
    pub service_reads: ReasonCounters,
    /// Bytes read from the service.
    pub service_bytes: Counter,
    /// Calls to the service that failed, by reason.
    pub service_errors: ReasonCounters,
    /// Versions and readings that were dropped, by reason.
    pub dropped: ReasonCounters,
    /// Bytes sent to peers.
    pub sent_bytes: Counter,
    /// Bytes received from peers.
    pub received_bytes: Counter,
    /// Versions taken, by where they came from.
    pub taken: ReasonCounters,
    /// Connections of peers refused or lost, by reason.
    pub lost_links: ReasonCounters,
    /// Fetches from peers tried again, by reason.
    pub fetch_retries: ReasonCounters,
    /// Pauses of the process that were noticed.
    pub pauses: Counter,
}

impl SpreadMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("papayamux_spread");
        self.register_state(registry);
        let counters = [
            ("service_reads", "Calls to the service", &self.service_reads),
            ("service_errors", "Calls to the service that failed", &self.service_errors),
            ("dropped", "Versions and readings dropped", &self.dropped),
            ("taken_versions", "Versions taken", &self.taken),
            ("lost_links", "Connections of peers refused or lost", &self.lost_links),
            ("fetch_retries", "Fetches from peers tried again", &self.fetch_retries),
        ];
        for (name, help, counters) in counters {
            registry.register(name, help, counters.0.clone());
        }
        let counters = [
            ("service_bytes", "Bytes read from the service", &self.service_bytes),
            ("sent_bytes", "Bytes sent to peers", &self.sent_bytes),
            ("received_bytes", "Bytes received from peers", &self.received_bytes),
            ("pauses", "Pauses of the process", &self.pauses),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    fn register_state(&self, registry: &mut Registry) {
        let gauges = [
            ("revision", "Highest revision held", &self.revision),
            ("age_seconds", "Seconds since the reading reflected; -1 for none", &self.age_seconds),
            ("digest", "Lower 32 bits of the digest of what is held", &self.digest),
            ("files", "Files held", &self.files),
            ("file_bytes", "Bytes of text held", &self.file_bytes),
            ("refused_files", "Files whose newest version is refused", &self.refused_files),
            ("peer_links", "Connections to and from peers", &self.peer_links),
            ("known_peers", "Processes heard lately", &self.known_peers),
            ("watching", "Whether this process watches the service", &self.watching),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}
