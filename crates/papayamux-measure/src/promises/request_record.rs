//! What one caller learned of one request.

use std::time::Instant;

use papayamux_protocol::failure::{FailureBody, FailureCode, FailureOutcome};
use papayamux_testbed::{CallerError, CallerOutcome};

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestWork {
    /// A streamed chat, which is idempotent.
    Chat,
    /// A call to a plain service that may run at most once.
    Booking,
}

/// What a caller learned in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LearnedOutcome {
    /// An answer came to its end.
    Answered,
    /// The router said that the request was not run.
    NotRun,
    /// The router was not reached.
    Unsent,
    /// The router said that it does not know, or its answer broke off.
    Unknown,
    /// The router said that the request ran and failed.
    Failed,
}

/// What is wrong with an answer's bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerFlaws {
    /// Bytes of another answer are in it.
    pub mixed: bool,
    /// It ended well, yet lacks bytes.
    pub short: bool,
    /// Bytes that came twice.
    pub doubled_bytes: u64,
}

impl AnswerFlaws {
    /// Whether a caller was given a wrong answer for a whole one.
    pub fn break_promise(&self) -> bool {
        self.mixed || self.short
    }
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The tag by which the stand-ins count its runs.
    pub tag: String,
    /// The key under which it may be repeated.
    pub key: Option<String>,
    /// What it asked for.
    pub work: RequestWork,
    /// The router's place in the fleet.
    pub router: usize,
    /// The server that answered, where the caller knows it.
    pub server: Option<String>,
    /// When it was sent.
    pub sent: Instant,
    /// When the caller knew the outcome.
    pub ended: Instant,
    /// The outcome.
    pub learned: LearnedOutcome,
    /// The failure that the router told.
    pub told: Option<FailureBody>,
    /// What is wrong with the answer.
    pub flaws: AnswerFlaws,
    /// How often the caller went on with the answer at another router.
    pub resumes: u32,
    /// Whether the caller's connection broke off.
    pub broke: bool,
    /// Whether the caller gave up waiting.
    pub timed_out: bool,
}

impl RequestRecord {
    /// Whether the router refused this attempt for its key: it was not run, and what is unknown
    /// is what became of an earlier attempt.
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

/// What a caller learned by an outcome.
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
