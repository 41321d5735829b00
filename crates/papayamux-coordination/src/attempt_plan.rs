//! What becomes of a request after an attempt at a backend server has failed.

use papayamux_state::service_config::RequestKind;

/// Attempts at connecting or at servers that turn the request away, for one request. Each costs
/// up to a connect timeout; more than this would not find a place in time.
const MOST_OFFERS: u32 = 4;

/// What is known of an attempt that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptLoss {
    /// Nothing of the request was sent.
    NotSent,
    /// The server says that it has not run the request and will not.
    Rejected,
    /// The request may have run.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another server; `counts` tells whether that takes from the retry budget.
    Again {
        /// Whether the repeat takes from the retry budget.
        counts: bool,
    },
    /// Answer that the request has not run.
    TellNotRun,
    /// Answer that the outcome is not known.
    TellUnknown,
}

/// The attempts that a request has had.
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptHistory {
    offers: u32,
    runs: u32,
    unknown: bool,
}

impl AttemptHistory {
    /// Notes an attempt that failed and decides what comes next. `attempts` is the number of
    /// servers that the request may run on.
    pub fn after_loss(&mut self, kind: RequestKind, attempts: u32, loss: AttemptLoss) -> NextStep {
        self.offers += 1;
        if loss == AttemptLoss::Unknown {
            self.runs += 1;
            self.unknown = true;
        }
        let may_run_again = match self.unknown {
            true => kind.may_retry() && self.runs < attempts.max(1),
            false => true,
        };
        if may_run_again && self.offers < MOST_OFFERS {
            return NextStep::Again { counts: loss != AttemptLoss::NotSent };
        }
        self.outcome()
    }

    /// What can be said for certain when no further attempt is made.
    pub fn outcome(&self) -> NextStep {
        match self.unknown {
            true => NextStep::TellUnknown,
            false => NextStep::TellNotRun,
        }
    }

    /// Whether the request may go to another server while this attempt's outcome is unknown.
    pub fn may_leave(&self, kind: RequestKind, attempts: u32) -> bool {
        kind.may_retry() && self.runs + 1 < attempts.max(1) && self.offers + 1 < MOST_OFFERS
    }

    /// Whether an earlier attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.unknown
    }

    /// Servers that may have run the request.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Attempts so far.
    pub fn offers(&self) -> u32 {
        self.offers
    }
}
