//! Bytes of control messages on the wire: all that is not a request, an answer or its flow control.

use prost::Message;

use super::{AgentFrame, RouterFrame};
use crate::link::{Addressed, AgentMessage, RouterMessage};

/// Bytes of the length before each frame.
const LENGTH_PREFIX_BYTES: u64 = 4;
/// The longest stream number that is counted; it takes a few bytes like most.
const NOMINAL_STREAM: u64 = 1 << 14;

/// Bytes of a router's message with its frame; 0 for what is no control message.
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

/// Bytes of an agent's message with its frame; 0 for what is no control message.
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
