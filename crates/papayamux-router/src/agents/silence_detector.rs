//! Whether an agent has gone silent on a connection.

use papayamux_protocol::link::{AgentMessage, RouterMessage};
use papayamux_transport::agent_link::CONNECTION;

use super::agent_link::AgentLink;

/// Pings without an answer after which the connection counts as silent.
const MAX_UNANSWERED_PINGS: u32 = 3;

/// How long the agent has been silent, counted in pings.
///
/// Any frame shows that the way from the agent works. The way to the agent may be dead all the
/// same while answers still flow; where a stream waits for its first word, only a pong counts.
#[derive(Default)]
pub struct SilenceDetector {
    received: bool,
    unanswered: u32,
}

impl SilenceDetector {
    /// Notes a message of the agent.
    pub fn record_message(&mut self, link: &AgentLink, message: &AgentMessage) {
        self.received = true;
        if matches!(message, AgentMessage::Pong(_)) || !link.awaits_any_head() {
            self.unanswered = 0;
        }
    }

    /// Pings where it is due; `true` where the agent counts as silent.
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
        link.send(CONNECTION, RouterMessage::Ping(u64::from(self.unanswered)));
        false
    }
}
