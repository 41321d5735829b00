//! The work that is done before a request is dispatched.

use super::queue::WaitingFlows;
use super::QueuedRequest;

/// The work until a request of one of the queued flows is done, including its own.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkAhead {
    /// The request's own work.
    own: f64,
    /// The work ahead of the request in its flow.
    in_flow: f64,
    /// The work of all queued requests.
    total: f64,
    weight: f64,
    weight_of_others: f64,
}

impl WorkAhead {
    pub fn of<T>(flows: &WaitingFlows<T>, request: &QueuedRequest) -> Self {
        let answer_deadline = request.time.answer_deadline();
        let is_ahead = |other: &super::queue::WaitingRequest<T>| {
            other.request.time.answer_deadline() <= answer_deadline
        };
        Self {
            own: request.work.get() as f64,
            in_flow: flows.cost_where(&request.flow, is_ahead),
            total: flows.total_cost(),
            weight: request.flow.weight(),
            weight_of_others: flows.weight_of_others(&request.flow),
        }
    }

    /// Removes work of another flow.
    pub fn remove(&mut self, work: f64) {
        self.total -= work;
    }

    /// Removes the weight of another flow that has no more entries.
    pub fn remove_weight(&mut self, weight: f64) {
        self.weight_of_others -= weight;
    }

    pub fn work(&self) -> f64 {
        let by_share =
            (self.in_flow + self.own) * (self.weight + self.weight_of_others) / self.weight;
        by_share.min(self.total + self.own)
    }
}
