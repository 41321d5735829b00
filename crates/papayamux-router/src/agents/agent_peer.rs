//! One agent as the router knows it: its address, and the connection while there is one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use papayamux_protocol::proof::SharedSecret;
use papayamux_state::ids::{FailureDomain, Incarnation, ServerId};
use papayamux_transport::agent_link::{open_link, AgentLinkError, AgentReceiver, LinkIdentity};
use papayamux_transport::shutdown::ShutdownSignal;

use super::agent_link::{read_messages, AgentLink};
use super::stream_recovery::recover_streams;
use super::AgentUpdates;
use crate::metrics::RouterMetrics;

/// What a router says of itself to agents, and how it keeps to them.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// The router's life.
    pub incarnation: Incarnation,
    /// The router's failure domain.
    pub domain: FailureDomain,
    /// The fleet's secret, where agents have to know it.
    pub secret: Option<SharedSecret>,
    /// How long streams of a lost connection wait for another one.
    pub resume_within: Duration,
}

impl RouterIdentity {
    fn link(&self) -> LinkIdentity {
        let (incarnation, domain) = (self.incarnation, self.domain.clone());
        LinkIdentity { incarnation, domain, secret: self.secret.clone() }
    }
}

enum PeerState {
    Down,
    Connecting(ShutdownSignal),
    Up(Rc<AgentLink>),
}

/// An agent with its connection, opened when it is first needed.
pub struct AgentPeer {
    core: Rc<PeerCore>,
}

/// What the peer's tasks share.
pub struct PeerCore {
    server: ServerId,
    address: SocketAddr,
    identity: RouterIdentity,
    metrics: RouterMetrics,
    updates: Rc<AgentUpdates>,
    state: RefCell<PeerState>,
}

impl AgentPeer {
    /// The agent of `server` at `address`.
    pub fn new(
        server: ServerId,
        address: SocketAddr,
        identity: RouterIdentity,
        metrics: RouterMetrics,
        updates: Rc<AgentUpdates>,
    ) -> Self {
        let state = RefCell::new(PeerState::Down);
        Self { core: Rc::new(PeerCore { server, address, identity, metrics, updates, state }) }
    }

    /// The server that the agent stands beside.
    pub fn server(&self) -> &ServerId {
        &self.core.server
    }

    /// The open connection, if there is one.
    pub fn current_link(&self) -> Option<Rc<AgentLink>> {
        self.core.current_link()
    }

    /// Where the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.core.address
    }

    /// The open connection, or a new one. Callers that come while one is being opened share it.
    pub async fn link(&self) -> Result<Rc<AgentLink>, AgentLinkError> {
        self.core.link().await
    }
}

impl PeerCore {
    /// What the router says of itself.
    pub fn identity(&self) -> &RouterIdentity {
        &self.identity
    }

    /// The router's metrics.
    pub fn metrics(&self) -> &RouterMetrics {
        &self.metrics
    }

    /// Lets go of a lost connection, so that its socket is closed.
    fn release_link(&self, lost: &Rc<AgentLink>) {
        let mut state = self.state.borrow_mut();
        if matches!(&*state, PeerState::Up(link) if Rc::ptr_eq(link, lost)) {
            *state = PeerState::Down;
        }
    }

    fn current_link(&self) -> Option<Rc<AgentLink>> {
        match &*self.state.borrow() {
            PeerState::Up(link) if link.is_open() => Some(link.clone()),
            _ => None,
        }
    }

    /// The open connection, or a new one.
    pub async fn link(self: &Rc<Self>) -> Result<Rc<AgentLink>, AgentLinkError> {
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

    async fn establish(self: &Rc<Self>) -> Result<Rc<AgentLink>, AgentLinkError> {
        let done = ShutdownSignal::new();
        *self.state.borrow_mut() = PeerState::Connecting(done.clone());
        let attempt = ConnectAttempt { peer: self, done };
        let outcome = open_link(&self.server, self.address, &self.identity.link()).await;
        let outcome = match outcome {
            Ok(proved) => {
                let (link, receiver) =
                    AgentLink::new(proved, self.updates.clone(), self.metrics.clone());
                *self.state.borrow_mut() = PeerState::Up(link.clone());
                monoio::spawn(self.clone().serve_link(link.clone(), receiver));
                Ok(link)
            }
            Err(error) => {
                self.metrics.failed_links.count(error.label());
                log::warn!(server:% = self.server, error:% = error; "no connection to agent");
                Err(error)
            }
        };
        drop(attempt);
        outcome
    }

    async fn serve_link(self: Rc<Self>, link: Rc<AgentLink>, receiver: AgentReceiver) {
        let states = read_messages(link.clone(), receiver, &self.metrics).await;
        self.release_link(&link);
        drop(link);
        recover_streams(self, states).await;
    }
}

/// Ends the connecting state, also where the caller that connects is dropped on the way.
struct ConnectAttempt<'a> {
    peer: &'a PeerCore,
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
