//! Detects agents that have gone silent on a connection.

use papayamux_protocol::link::{AgentMessage, RouterMessage};
use papayamux_transport::agent_link::CONTROL_STREAM;

use super::agent_link::AgentLink;

/// Number of unanswered pings after which a connection is considered silent.
const MAX_UNANSWERED_PINGS: u32 = 3;

/// Measures an agent's silence as a number of unanswered pings.
///
/// Any frame shows that the direction from the agent works. The direction to the agent may still be
/// broken while answers arrive, so while a stream awaits its head, only a pong resets the count.
#[derive(Default)]
pub struct SilenceDetector {
    received: bool,
    unanswered: u32,
}

impl SilenceDetector {
    /// Records that the agent sent a message.
    pub fn record_message(&mut self, link: &AgentLink, message: &AgentMessage) {
        self.received = true;
        if matches!(message, AgentMessage::Pong(_)) || !link.awaits_any_head() {
            self.unanswered = 0;
        }
    }

    /// Sends a ping if no message arrived since the last check or a stream awaits its head. Returns
    /// `true` if the agent is considered silent. A connection without open streams never is.
    pub fn check(&mut self, link: &AgentLink) -> bool {
        let received = std::mem::take(&mut self.received);
        if !link.has_streams() || (received && !link.awaits_any_head()) {
            self.unanswered = 0;
            return false;
        }
        if self.unanswered == MAX_UNANSWERED_PINGS {
            return true;
        }
        self.unanswered += 1;
        link.send(CONTROL_STREAM, RouterMessage::Ping(u64::from(self.unanswered)));
        false
    }
}
