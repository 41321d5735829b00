//! Counts requests in flight and truncated answers in the metrics.

use std::rc::Rc;

use crate::metrics::RouterMetrics;

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    metrics: RouterMetrics,
}

impl InFlightGuard {
    /// Counts a request as received, and as in flight until the guard is dropped.
    pub fn new(metrics: &RouterMetrics) -> Rc<Self> {
        metrics.requests.inc();
        metrics.in_flight.inc();
        Rc::new(Self { metrics: metrics.clone() })
    }

    /// Counts a truncated answer.
    pub fn count_truncated(&self, reason: &'static str) {
        self.metrics.cut_answers.count(reason);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.metrics.in_flight.dec();
    }
}
