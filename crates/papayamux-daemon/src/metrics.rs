//! Metrics that more than one daemon needs.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

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
