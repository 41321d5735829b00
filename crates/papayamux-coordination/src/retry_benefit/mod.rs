//! Whether retries of failed requests help.

mod benefit_tracker;
mod failure_cause;
mod success_share;

pub use benefit_tracker::{BenefitTracker, RetryCase, RetryDecision, RetryEstimate};
pub use failure_cause::FailureCause;
