//! Metrics shared by several daemons.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The label set of counters by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// A stable label from a fixed set.
    pub reason: &'static str,
}

/// A family of counters, one for each reason.
#[derive(Debug, Clone, Default)]
pub struct ReasonCounters(pub Family<ReasonLabel, Counter>);

impl ReasonCounters {
    /// Increments the counter of `reason`.
    pub fn count(&self, reason: &'static str) {
        self.0.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Adds `count` to the counter of `reason`.
    pub fn count_many(&self, reason: &'static str, count: u64) {
        self.0.get_or_create(&ReasonLabel { reason }).inc_by(count);
    }

    /// Returns the count of `reason`.
    pub fn get(&self, reason: &'static str) -> u64 {
        self.0.get_or_create(&ReasonLabel { reason }).get()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabel {
    way: &'static str,
}

/// Bytes of control messages between routers and agents, by direction.
#[derive(Debug, Clone, Default)]
pub struct ControlBytes(Family<DirectionLabel, Counter>);

impl ControlBytes {
    /// Adds `bytes` to the received bytes.
    pub fn record_received(&self, bytes: u64) {
        self.0.get_or_create(&DirectionLabel { way: "in" }).inc_by(bytes);
    }

    /// Adds `bytes` to the sent bytes.
    pub fn record_sent(&self, bytes: u64) {
        self.0.get_or_create(&DirectionLabel { way: "out" }).inc_by(bytes);
    }

    /// Registers the counters as `control_bytes`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("control_bytes", "Control messages in bytes, by way", self.0.clone());
    }
}
