//! Metrics of file distribution.

use papayamux_daemon::metrics::ReasonCounters;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// All metrics of file distribution.
#[derive(Debug, Clone, Default)]
pub struct SpreadMetrics {
    /// Highest stored service revision.
    pub revision: Gauge,
    /// Seconds since the service read that the stored files reflect; -1 for none.
    pub age_seconds: Gauge,
    /// Lower 32 bits of the digest of the stored versions.
    pub digest: Gauge,
    /// Number of stored files.
    pub files: Gauge,
    /// Bytes of stored text.
    pub file_bytes: Gauge,
    /// Number of files whose newest version is refused.
    pub refused_files: Gauge,
    /// Number of open connections to and from peers.
    pub peer_links: Gauge,
    /// Number of known processes that are alive.
    pub known_peers: Gauge,
    /// 1 if this process watches the service, else 0.
    pub watching: Gauge,
    /// Calls to the service, by kind.
    pub service_reads: ReasonCounters,
    /// Bytes read from the service.
    pub service_bytes: Counter,
    /// Failed calls to the service, by reason.
    pub service_errors: ReasonCounters,
    /// Dropped versions and service reads, by reason.
    pub dropped: ReasonCounters,
    /// Bytes sent to peers.
    pub sent_bytes: Counter,
    /// Bytes received from peers.
    pub received_bytes: Counter,
    /// Versions stored, by source.
    pub taken: ReasonCounters,
    /// Peer connections refused or lost, by reason.
    pub lost_links: ReasonCounters,
    /// Retried fetches from peers, by reason.
    pub fetch_retries: ReasonCounters,
    /// Detected pauses of the process.
    pub pauses: Counter,
}

impl SpreadMetrics {
    /// Registers the metrics under the `papayamux_spread` prefix.
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
