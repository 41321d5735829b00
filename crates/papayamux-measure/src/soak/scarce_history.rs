//! Observations of a small service for which two organisations compete.

use super::history::{CallRecord, RunRecord};

/// An organisation that uses the small service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Competitor {
    /// It asks for less than half of the slots.
    Steady,
    /// It asks for several times of what all slots bear.
    Surging,
}

impl Competitor {
    /// Returns the name of the organisation.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Surging => "surging",
        }
    }

    /// Returns the API key of the organisation.
    pub(super) fn key(self) -> String {
        format!("key-of-{}", self.name())
    }
}

/// A call of one of the organisations.
#[derive(Debug, Clone)]
pub struct ScarceCall {
    /// The organisation.
    pub competitor: Competitor,
    /// The call.
    pub call: CallRecord,
}

/// What callers and servers of the small service saw. It is empty in a soak without one.
#[derive(Debug, Default)]
pub struct ScarceHistory {
    /// The calls of both organisations.
    pub calls: Vec<ScarceCall>,
    /// Runs at the servers.
    pub runs: Vec<RunRecord>,
    /// Requests that reached a server whose slots and queue were full, which refused them.
    pub overflows: Vec<RunRecord>,
}
