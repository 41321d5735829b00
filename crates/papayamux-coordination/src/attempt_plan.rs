//! Decides how a request proceeds after a failed attempt at a backend server.

use papayamux_state::service_config::RequestKind;

/// Maximum number of attempts for one request, counting failed connections and refusals. Each costs
/// up to a connect timeout, and further attempts would not find a slot in time.
const MAX_ATTEMPTS: u32 = 4;

/// What is known of an attempt without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptLoss {
    /// Nothing of the request was sent.
    NotSent,
    /// The server reports that it has not run the request and will not.
    Rejected,
    /// The request may have run.
    Unknown,
}

/// The next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another server.
    Again {
        /// `true` if the retry takes from the retry budget.
        counts: bool,
    },
    /// Answer that the request has not run.
    TellNotRun,
    /// Answer that the outcome is unknown.
    TellUnknown,
}

/// The attempts of a request so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptHistory {
    attempts: u32,
    runs: u32,
    outcome_unknown: bool,
}

impl AttemptHistory {
    /// Records a failed attempt and returns the next step. `max_runs` is the number of servers that
    /// the request may run on.
    pub fn after_loss(&mut self, kind: RequestKind, max_runs: u32, loss: AttemptLoss) -> NextStep {
        self.attempts += 1;
        if loss == AttemptLoss::Unknown {
            self.runs += 1;
            self.outcome_unknown = true;
        }
        let may_run_again = match self.outcome_unknown {
            true => kind.may_retry() && self.runs < max_runs.max(1),
            false => true,
        };
        if may_run_again && self.attempts < MAX_ATTEMPTS {
            return NextStep::Again { counts: loss != AttemptLoss::NotSent };
        }
        self.outcome()
    }

    /// Returns what is certain if no further attempt is made.
    pub fn outcome(&self) -> NextStep {
        match self.outcome_unknown {
            true => NextStep::TellUnknown,
            false => NextStep::TellNotRun,
        }
    }

    /// Returns whether the request may go to another server while the outcome of this attempt is
    /// unknown.
    pub fn may_fail_over(&self, kind: RequestKind, max_runs: u32) -> bool {
        kind.may_retry() && self.runs + 1 < max_runs.max(1) && self.attempts + 1 < MAX_ATTEMPTS
    }

    /// Returns whether an earlier attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.outcome_unknown
    }

    /// Returns the number of servers that may have run the request.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }
}
