//! Whether retries of failed requests help, as far as this router knows.

use std::time::Instant;

use papayamux_coordination::mechanism::Mechanism;
use papayamux_coordination::retry_benefit::{FailureCause, RetryCase, RetryDecision};
use papayamux_state::backend::BackendServer;
use papayamux_state::ids::ServiceId;

use super::Fleet;
use crate::direct::CallId;

impl Fleet {
    /// Returns what an error answer of a server would suggest, by the earlier answers of the
    /// servers of its service.
    pub(in crate::direct) fn error_cause(&self, server: &BackendServer) -> FailureCause {
        FailureCause::of_error(self.excess_failures(server, Instant::now()))
    }

    /// Records whether the first attempt of a request succeeded.
    pub(in crate::direct) fn record_first_outcome(&self, service: &ServiceId, succeeded: bool) {
        self.retry_benefit.borrow_mut().record_first(service, succeeded, Instant::now());
    }

    /// Records whether the retry of a request that failed by `cause` succeeded.
    pub(in crate::direct) fn record_retry_outcome(
        &self,
        service: &ServiceId,
        cause: FailureCause,
        succeeded: bool,
    ) {
        let outcomes = match succeeded {
            true => &self.metrics.retries_succeeded,
            false => &self.metrics.retries_failed,
        };
        outcomes.count(cause.label());
        self.retry_benefit.borrow_mut().record_retry(service, cause, succeeded, Instant::now());
    }

    /// Returns whether a request whose server answered with an error may be retried.
    pub(in crate::direct) fn is_retry_worthwhile(
        &self,
        request: &CallId,
        service: &ServiceId,
        cause: FailureCause,
    ) -> bool {
        if !self.uses(Mechanism::RetryBenefit) {
            return true;
        }
        let now = Instant::now();
        let is_contended = self.is_contended(service, now);
        let case = RetryCase { service, cause, is_contended, sample: rand::random() };
        let decision = self.retry_benefit.borrow().decide(&case, now);
        if decision == RetryDecision::Withheld {
            self.metrics.retries_withheld.count(cause.label());
            self.log_withheld_retry(request, &case, now);
        }
        decision.is_made()
    }

    fn log_withheld_retry(&self, request: &CallId, case: &RetryCase<'_>, now: Instant) {
        let Some(suppressed) = self.withheld_log_limit.borrow_mut().next(now) else { return };
        let estimate = self.retry_benefit.borrow().estimate(case.service, case.cause, now);
        log::info!(
            request:% = request, service:% = case.service, cause:% = case.cause,
            chance:% = format_args!("{:.2}", estimate.chance),
            first_chance:% = format_args!("{:.2}", estimate.first_chance),
            samples:% = format_args!("{:.1}", estimate.samples), suppressed = suppressed;
            "retry is withheld"
        );
    }
}
