//! The last words on a connection of a router, before a leaving agent ends.

use std::cell::RefCell;

use papayamux_protocol::link::AgentMessage;
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use papayamux_transport::agent_link::CONNECTION;

/// The ping by which a leaving agent learns that a router has read all before it.
pub const SHUTDOWN_PING: u64 = u64::MAX;
/// How often a leaving agent asks so.
const SHUTDOWN_ROUNDS: usize = 2;

/// The farewell on one connection.
#[derive(Default)]
pub struct LinkShutdown {
    answered: RefCell<Option<ShutdownSignal>>,
}

impl LinkShutdown {
    /// Waits for `closing`, then until nothing is under way on the connection any more.
    ///
    /// After the first round the router knows that the agent leaves, and every request that it had
    /// sent before is refused; after the second it has read those refusals.
    pub async fn run(&self, closing: &ShutdownSignal, sender: &LinkSender<AgentMessage>) {
        closing.given().await;
        for _ in 0..SHUTDOWN_ROUNDS {
            let answered = ShutdownSignal::new();
            self.answered.replace(Some(answered.clone()));
            sender.send(CONNECTION, AgentMessage::Ping(SHUTDOWN_PING));
            answered.given().await;
        }
    }

    /// The router has answered the ping.
    pub fn record_pong(&self) {
        if let Some(answered) = self.answered.take() {
            answered.give();
        }
    }
}
