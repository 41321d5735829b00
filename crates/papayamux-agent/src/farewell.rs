//! The last words on a connection of a router, before a leaving agent ends.

use std::cell::RefCell;

use papayamux_protocol::link::AgentMessage;
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use papayamux_transport::agent_link::CONTROL_STREAM;

/// The ping by which a leaving agent learns that a router has read all before it.
pub const FAREWELL_PING: u64 = u64::MAX;
/// How often a leaving agent asks so.
const FAREWELL_ROUNDS: usize = 2;

/// The farewell on one connection.
#[derive(Default)]
pub struct LinkFarewell {
    answered: RefCell<Option<ShutdownSignal>>,
}

impl LinkFarewell {
    /// Waits for `closing`, then until nothing is under way on the connection any more.
    ///
    /// After the first round the router knows that the agent leaves, and every request that it had
    /// sent before is refused; after the second it has read those refusals.
    pub async fn say(&self, closing: &ShutdownSignal, sender: &LinkSender<AgentMessage>) {
        closing.triggered().await;
        for _ in 0..FAREWELL_ROUNDS {
            let answered = ShutdownSignal::new();
            self.answered.replace(Some(answered.clone()));
            sender.send(CONTROL_STREAM, AgentMessage::Ping(FAREWELL_PING));
            answered.triggered().await;
        }
    }

    /// The router has answered the ping.
    pub fn note_pong(&self) {
        if let Some(answered) = self.answered.take() {
            answered.trigger();
        }
    }
}
