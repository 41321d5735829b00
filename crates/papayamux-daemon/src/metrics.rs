//! Metrics that more than one daemon needs.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The label of counters by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// A stable word from a fixed set.
    pub reason: &'static str,
}

/// A counter for each reason.
#[derive(Debug, Clone, Default)]
pub struct ReasonCounters(pub Family<ReasonLabel, Counter>);

impl ReasonCounters {
    /// Counts one more of `reason`.
    pub fn count(&self, reason: &'static str) {
        self.0.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// How many of `reason` were counted.
    pub fn get(&self, reason: &'static str) -> u64 {
        self.0.get_or_create(&ReasonLabel { reason }).get()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabel {
    way: &'static str,
}

/// Bytes of control messages between routers and agents, by the way that they went.
#[derive(Debug, Clone, Default)]
pub struct ControlBytes(Family<DirectionLabel, Counter>);

impl ControlBytes {
    /// Counts `bytes` received.
    pub fn receive(&self, bytes: u64) {
        self.0.get_or_create(&DirectionLabel { way: "in" }).inc_by(bytes);
    }

    /// Counts `bytes` sent.
    pub fn send(&self, bytes: u64) {
        self.0.get_or_create(&DirectionLabel { way: "out" }).inc_by(bytes);
    }

    /// Registers the counters as `control_bytes`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("control_bytes", "Control messages in bytes, by way", self.0.clone());
    }
}
