//! A budget for retries of requests whose outcome is unknown.

use std::cell::Cell;

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 20.0;

/// A token bucket that requests fill and retries drain, so that retries can't exceed a fifth of the
/// requests for long. A refusal proves that nothing ran and needs no budget, since the number of
/// offers bounds it.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: Cell<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: Cell::new(MAX_RETRIES) }
    }
}

impl RetryBudget {
    /// Records the first offer of a request.
    pub fn record_request(&self) {
        self.tokens.set((self.tokens.get() + RETRIES_PER_REQUEST).min(MAX_RETRIES));
    }

    /// Takes one retry from the budget. Returns `false` if it is exhausted.
    pub fn take_retry(&self) -> bool {
        let left = self.tokens.get() - 1.0;
        if left < 0.0 {
            return false;
        }
        self.tokens.set(left);
        true
    }
}
