//! Records what the attempts of a request have brought, and decides whether a retry is worthwhile.

use papayamux_coordination::attempt_plan::AttemptLoss;

use super::attempt::LostAttempt;
use super::call_plan::CallPlan;
use super::CallFailure;

impl CallPlan {
    /// Records whether the current attempt was answered without a failure.
    pub(super) fn record_attempt_outcome(&mut self, succeeded: bool) {
        match self.retried.take() {
            Some(cause) => self.fleet.record_retry_outcome(&self.service, cause, succeeded),
            None => self.fleet.record_first_outcome(&self.service, succeeded),
        }
    }

    /// Records that the current attempt brought no answer, and decides whether there is another
    /// one. An attempt that didn't run shows nothing about retries.
    pub(super) fn after_lost_attempt(&mut self, lost: &LostAttempt) -> Result<(), CallFailure> {
        if lost.loss == AttemptLoss::Unknown {
            self.record_attempt_outcome(false);
        }
        self.after_loss(lost)
    }

    /// Returns whether a further attempt may take from the retry budget. Only a retry after an error
    /// answer is judged by its chance.
    pub(super) fn is_retry_worthwhile(&self, lost: &LostAttempt) -> bool {
        let Some(cause) = lost.error_cause else { return true };
        self.fleet.is_retry_worthwhile(&self.call.id, &self.service, cause)
    }
}
