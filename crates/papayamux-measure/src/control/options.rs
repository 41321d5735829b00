//! Options of the control cost measurement.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// One part of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlPart {
    /// Idle connections of routers at an agent.
    AgentLinks,
    /// Idle connections to agents at a router.
    RouterLinks,
    /// Probes per second at an agent.
    Probes,
    /// Chats per second through one router, with the product's policy and with a random choice.
    Requests,
    /// Declared servers of other models at a router, with a fixed rate of chats.
    DeclaredServers,
    /// Chats at an agent that were served elsewhere.
    MovedChats,
}

/// All parts, in the order of measurement.
pub const ALL_PARTS: [ControlPart; 6] = [
    ControlPart::AgentLinks,
    ControlPart::RouterLinks,
    ControlPart::Probes,
    ControlPart::Requests,
    ControlPart::DeclaredServers,
    ControlPart::MovedChats,
];

/// The error of parsing a part's name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown part {0:?}; parts: agent-links router-links probes requests declared-servers moved-chats")]
pub struct UnknownPart(String);

impl fmt::Display for ControlPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ControlPart::AgentLinks => "agent-links",
            ControlPart::RouterLinks => "router-links",
            ControlPart::Probes => "probes",
            ControlPart::Requests => "requests",
            ControlPart::DeclaredServers => "declared-servers",
            ControlPart::MovedChats => "moved-chats",
        })
    }
}

impl FromStr for ControlPart {
    type Err = UnknownPart;

    fn from_str(text: &str) -> Result<Self, UnknownPart> {
        let part = ALL_PARTS.into_iter().find(|part| part.to_string() == text);
        part.ok_or_else(|| UnknownPart(text.to_string()))
    }
}

/// Options of the control cost measurement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlOptions {
    /// The parts to measure.
    pub parts: Vec<ControlPart>,
    /// The number of measurements of each part, each on new processes.
    pub repetitions: usize,
}
