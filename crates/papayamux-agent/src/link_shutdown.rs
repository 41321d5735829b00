//! The shutdown handshake on a router's connection, before a drained agent exits.

use std::cell::RefCell;

use papayamux_protocol::link::AgentMessage;
use papayamux_transport::link::LinkSender;
use papayamux_transport::shutdown::ShutdownSignal;

use papayamux_transport::agent_link::CONTROL_STREAM;

/// The number of the ping whose pong confirms that a router has read all earlier messages.
pub const SHUTDOWN_PING: u64 = u64::MAX;
/// The number of pings in the handshake; see [`LinkShutdown::run`].
const SHUTDOWN_ROUNDS: usize = 2;

/// The shutdown handshake on one connection.
#[derive(Default)]
pub struct LinkShutdown {
    answered: RefCell<Option<ShutdownSignal>>,
}

impl LinkShutdown {
    /// Waits for `closing`, then until no message is in flight on the connection.
    ///
    /// After the first round, the router knows that the agent is draining, and all requests that it
    /// sent before have been refused. After the second round, it has read those refusals.
    pub async fn run(&self, closing: &ShutdownSignal, sender: &LinkSender<AgentMessage>) {
        closing.triggered().await;
        for _ in 0..SHUTDOWN_ROUNDS {
            let answered = ShutdownSignal::new();
            self.answered.replace(Some(answered.clone()));
            sender.send(CONTROL_STREAM, AgentMessage::Ping(SHUTDOWN_PING));
            answered.triggered().await;
        }
    }

    /// Records that the router has answered the ping.
    pub fn record_pong(&self) {
        if let Some(answered) = self.answered.take() {
            answered.trigger();
        }
    }
}
