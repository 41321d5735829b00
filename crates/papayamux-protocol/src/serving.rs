//! The query between agents before a server stops serving weights.

use std::fmt;

use papayamux_state::ids::ServerId;
use papayamux_state::weights::WeightsRef;

/// A query to another server's agent whether its server serves weights and will continue to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingQuery {
    /// The model or adapter.
    pub weights: WeightsRef,
    /// The server that is about to stop serving the weights.
    pub asker: ServerId,
}

/// An agent's answer to [`ServingQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingAnswer {
    /// The server serves the weights and will continue to.
    Serves,
    /// The server can't be relied on to serve the weights.
    Refused(ServingRefusal),
}

/// The reason why a server can't be relied on to serve the weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServingRefusal {
    /// The server does not serve the weights, as far as its agent knows.
    NotServing,
    /// The server is about to stop serving the weights, or has stopped.
    StopsItself,
    /// The agent has just started and does not know its predecessor's orders.
    JustStarted,
}

impl ServingRefusal {
    /// All refusals, in the order of their numbers.
    pub const ALL: [Self; 3] = [Self::NotServing, Self::StopsItself, Self::JustStarted];

    /// Returns the number of the refusal on the wire.
    pub const fn number(self) -> u32 {
        match self {
            Self::NotServing => 1,
            Self::StopsItself => 2,
            Self::JustStarted => 3,
        }
    }

    /// Returns the refusal with this number on the wire.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|refusal| refusal.number() == number)
    }

    /// Returns the stable label for metrics and logs.
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
