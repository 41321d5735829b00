//! The outcome of one request as its caller saw it.

use std::time::Instant;

use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_testbed::{CallerError, CallerOutcome};

/// The kind of work that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestWork {
    /// A streamed chat, which is idempotent.
    Chat,
    /// A call to a plain service that may run at most once.
    Booking,
}

/// The final outcome known to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LearnedOutcome {
    /// A complete answer arrived.
    Answered,
    /// The router reported that the request was not run.
    NotRun,
    /// The router was not reached.
    Unsent,
    /// The router reported an unknown outcome, or its answer broke off.
    Unknown,
    /// The router reported that the request ran and failed.
    Failed,
}

/// Flaws in the bytes of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerFlaws {
    /// `true` if it contains bytes of another answer.
    pub mixed: bool,
    /// `true` if it ended normally but lacks bytes.
    pub short: bool,
    /// Number of duplicated bytes.
    pub doubled_bytes: u64,
}

impl AnswerFlaws {
    /// Returns whether the caller received a wrong answer as a complete one.
    pub fn break_promise(&self) -> bool {
        self.mixed || self.short
    }
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Tag by which the stand-ins count its runs.
    pub tag: String,
    /// Idempotency key under which it may be retried.
    pub key: Option<String>,
    /// Kind of work that it asked for.
    pub work: RequestWork,
    /// Index of the router in the fleet.
    pub router: usize,
    /// Server that answered, if the caller knows it.
    pub server: Option<String>,
    /// Time when it was sent.
    pub sent: Instant,
    /// Time when the caller knew the outcome.
    pub ended: Instant,
    /// The outcome.
    pub learned: LearnedOutcome,
    /// Failure reported by the router.
    pub told: Option<FailureBody>,
    /// Flaws of the answer.
    pub flaws: AnswerFlaws,
    /// Number of times that the caller resumed the answer at another router.
    pub resumes: u32,
    /// `true` if the caller's connection broke off.
    pub broke: bool,
    /// `true` if the caller timed out.
    pub timed_out: bool,
}

impl RequestRecord {
    /// Returns whether the router refused this attempt because of its key. The attempt was not run;
    /// an unknown outcome is that of an earlier attempt.
    pub fn is_refused_for_key(&self) -> bool {
        let code = self.told.as_ref().map(|failure| failure.code);
        matches!(
            code,
            Some(
                FailureCode::KeyInUse
                    | FailureCode::KeyReused
                    | FailureCode::AnswerNotKept
                    | FailureCode::FirstRunFailed
                    | FailureCode::ClaimsUnavailable
            )
        )
    }
}

/// Returns the outcome as the caller knows it.
pub fn learned_of<A>(outcome: &CallerOutcome<A>) -> LearnedOutcome {
    match outcome {
        CallerOutcome::Answered(_) => LearnedOutcome::Answered,
        CallerOutcome::Unsent => LearnedOutcome::Unsent,
        CallerOutcome::Reported(failure) => match failure.outcome {
            FailureOutcome::NotRun => LearnedOutcome::NotRun,
            FailureOutcome::Unknown => LearnedOutcome::Unknown,
            FailureOutcome::Failed => LearnedOutcome::Failed,
        },
        CallerOutcome::Broken(CallerError::Reported { failure, .. })
            if failure.outcome == FailureOutcome::Failed =>
        {
            LearnedOutcome::Failed
        }
        CallerOutcome::Broken(_) => LearnedOutcome::Unknown,
    }
}
