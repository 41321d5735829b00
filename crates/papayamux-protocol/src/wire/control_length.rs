//! The length of control messages on the wire. Requests, answers and their flow control are not
//! control messages.

use prost::Message;

use super::{AgentFrame, RouterFrame};
use crate::link::{Addressed, AgentMessage, RouterMessage};

/// Size of the length prefix before each frame.
const LENGTH_PREFIX_BYTES: u64 = 4;
/// The stream number assumed for every message; like most stream numbers, it takes a few bytes.
const NOMINAL_STREAM: u64 = 1 << 14;

/// Returns the length of a router's message with its frame; 0 if it is not a control message.
pub fn router_control_length(message: &RouterMessage) -> u64 {
    match message {
        RouterMessage::Hello(_)
        | RouterMessage::Ping(_)
        | RouterMessage::Probe(_)
        | RouterMessage::Claim(_)
        | RouterMessage::ClaimNotice(_)
        | RouterMessage::AskServing(_)
        | RouterMessage::Moved(_) => {
            let addressed = Addressed { stream: NOMINAL_STREAM, message: message.clone() };
            RouterFrame::from(addressed).encoded_len() as u64 + LENGTH_PREFIX_BYTES
        }
        _ => 0,
    }
}

/// Returns the length of an agent's message with its frame; 0 if it is not a control message.
pub fn agent_control_length(message: &AgentMessage) -> u64 {
    match message {
        AgentMessage::Welcome(_)
        | AgentMessage::Refused(_)
        | AgentMessage::Pong(_)
        | AgentMessage::Leaving
        | AgentMessage::Load(_)
        | AgentMessage::Claim(_)
        | AgentMessage::Serving(_)
        | AgentMessage::Crashes(_)
        | AgentMessage::Probed(_) => {
            let addressed = Addressed { stream: NOMINAL_STREAM, message: message.clone() };
            AgentFrame::from(addressed).encoded_len() as u64 + LENGTH_PREFIX_BYTES
        }
        _ => 0,
    }
}
