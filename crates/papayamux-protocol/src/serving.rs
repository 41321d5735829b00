//! What agents ask each other before one of them stops serving weights.

use std::fmt;

use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;

/// Asks another server's agent whether its server serves weights, and means to go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingQuery {
    /// The model or adapter.
    pub weights: WeightsRef,
    /// The server that wants to stop.
    pub asker: ServerId,
}

/// An agent's answer to [`ServingQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingAnswer {
    /// The server serves the weights and does not want to stop.
    Serves,
    /// The server can't be counted on.
    Refused(ServingRefusal),
}

/// Why a server can't be counted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServingRefusal {
    /// It does not serve the weights, as far as it knows.
    NotServing,
    /// It wants to stop serving the weights itself, or has stopped.
    StopsItself,
    /// Its agent has just started, and does not know what its predecessor has ordered.
    JustStarted,
}

impl ServingRefusal {
    /// Every refusal, in the order of their numbers.
    pub const ALL: [Self; 3] = [Self::NotServing, Self::StopsItself, Self::JustStarted];

    /// The number sent on the wire.
    pub const fn number(self) -> u32 {
        match self {
            Self::NotServing => 1,
            Self::StopsItself => 2,
            Self::JustStarted => 3,
        }
    }

    /// The refusal with this number on the wire.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.number() == number)
    }

    /// The stable word for metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotServing => "not_serving",
            Self::StopsItself => "stops_itself",
            Self::JustStarted => "just_started",
        }
    }
}

impl fmt::Display for ServingRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}
