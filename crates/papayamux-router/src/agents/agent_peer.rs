//! One agent as the router knows it: its address, and the connection while there is one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use papayamux_protocol::link::{RouterHello, PROTOCOL_VERSION};
use papayamux_state::ids::{FailureDomain, Incarnation, ServerId};
use papayamux_transport::shutdown::ShutdownSignal;

use super::agent_link::{AgentLink, AgentLinkError};
use crate::metrics::RouterMetrics;

/// What a router says of itself to agents.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// The router's life.
    pub incarnation: Incarnation,
    /// The router's failure domain.
    pub domain: FailureDomain,
}

enum PeerState {
    Down,
    Connecting(ShutdownSignal),
    Up(Rc<AgentLink>),
}

/// An agent with its connection, opened when it is first needed.
pub struct AgentPeer {
    server: ServerId,
    address: SocketAddr,
    identity: RouterIdentity,
    metrics: RouterMetrics,
    state: RefCell<PeerState>,
}

impl AgentPeer {
    /// The agent of `server` at `address`.
    pub fn new(
        server: ServerId,
        address: SocketAddr,
        identity: RouterIdentity,
        metrics: RouterMetrics,
    ) -> Self {
        Self { server, address, identity, metrics, state: RefCell::new(PeerState::Down) }
    }

    /// The server that the agent stands beside.
    pub fn server(&self) -> &ServerId {
        &self.server
    }

    /// The open connection, if there is one.
    pub fn current_link(&self) -> Option<Rc<AgentLink>> {
        match &*self.state.borrow() {
            PeerState::Up(link) if link.is_open() => Some(link.clone()),
            _ => None,
        }
    }

    /// The open connection, or a new one. Callers that come while one is being opened share it.
    pub async fn link(&self) -> Result<Rc<AgentLink>, AgentLinkError> {
        if let Some(link) = self.current_link() {
            return Ok(link);
        }
        let pending = match &*self.state.borrow() {
            PeerState::Connecting(done) => Some(done.clone()),
            _ => None,
        };
        if let Some(done) = pending {
            done.given().await;
            return self.current_link().ok_or(AgentLinkError::NoWelcome);
        }
        self.establish().await
    }

    async fn establish(&self) -> Result<Rc<AgentLink>, AgentLinkError> {
        let done = ShutdownSignal::new();
        *self.state.borrow_mut() = PeerState::Connecting(done.clone());
        let attempt = ConnectAttempt { peer: self, done };
        let hello = RouterHello {
            version: PROTOCOL_VERSION,
            incarnation: self.identity.incarnation,
            domain: self.identity.domain.clone(),
        };
        let metrics = self.metrics.clone();
        let outcome = AgentLink::establish(&self.server, self.address, hello, metrics).await;
        match &outcome {
            Ok(link) => *self.state.borrow_mut() = PeerState::Up(link.clone()),
            Err(error) => {
                log::warn!(server:% = self.server, error:% = error; "no connection to agent");
            }
        }
        drop(attempt);
        outcome
    }
}

/// Ends the connecting state, also where the caller that connects is dropped on the way.
struct ConnectAttempt<'a> {
    peer: &'a AgentPeer,
    done: ShutdownSignal,
}

impl Drop for ConnectAttempt<'_> {
    fn drop(&mut self) {
        let mut state = self.peer.state.borrow_mut();
        if matches!(*state, PeerState::Connecting(_)) {
            *state = PeerState::Down;
        }
        self.done.give();
    }
}
