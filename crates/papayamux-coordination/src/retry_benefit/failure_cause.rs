//! What a failed attempt suggests about its cause.

use std::fmt;

/// Share of its answers by which a server must fail more than the others of its service to count as
/// failing. A few failures in a row of requests that fail everywhere stay below it.
const FAILING_EXCESS: f64 = 0.2;

/// What a failed attempt suggests about its cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureCause {
    /// The server answered with an error, and fails no more often than the others.
    TypicalServer,
    /// The server answered with an error, and fails more often than the others.
    FailingServer,
    /// The answer was lost: the connection broke, or the server fell silent.
    LostAnswer,
}

impl FailureCause {
    /// Returns the cause of an error answer of a server that fails this share of its answers more
    /// than the others of its service. The answer itself must not be included in the share.
    pub fn of_error(excess_failures: f64) -> Self {
        match excess_failures >= FAILING_EXCESS {
            true => Self::FailingServer,
            false => Self::TypicalServer,
        }
    }

    /// Returns the label of the cause in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::TypicalServer => "typical_server",
            Self::FailingServer => "failing_server",
            Self::LostAnswer => "lost_answer",
        }
    }
}

impl fmt::Display for FailureCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}
