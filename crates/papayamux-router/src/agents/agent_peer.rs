//! The router's view of one agent: its address, and the connection while one is open.

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

/// The identity with which a router connects to agents, and the bound on resuming streams.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// The router's failure domain.
    pub domain: FailureDomain,
    /// The fleet's shared secret, if connections to agents are authenticated with one.
    pub secret: Option<SharedSecret>,
    /// Maximum time that streams of a lost connection wait to be resumed on a new one.
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

/// An agent with its connection, which is opened on first use.
pub struct AgentPeer {
    core: Rc<PeerCore>,
}

/// The state that the tasks of a peer share.
pub struct PeerCore {
    server: ServerId,
    address: SocketAddr,
    identity: RouterIdentity,
    metrics: RouterMetrics,
    updates: Rc<AgentUpdates>,
    state: RefCell<PeerState>,
}

impl AgentPeer {
    /// Creates a peer for the agent of `server` at `address`, without connecting to it.
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

    /// Returns the server that the agent runs beside.
    pub fn server(&self) -> &ServerId {
        &self.core.server
    }

    /// Returns the open connection, if any.
    pub fn current_link(&self) -> Option<Rc<AgentLink>> {
        self.core.current_link()
    }

    /// Returns the address that the agent listens on.
    pub fn address(&self) -> SocketAddr {
        self.core.address
    }

    /// Returns the open connection, or opens one. Concurrent callers share the connection that is
    /// being opened.
    pub async fn link(&self) -> Result<Rc<AgentLink>, AgentLinkError> {
        self.core.link().await
    }
}

impl PeerCore {
    /// Returns the identity with which the router connects.
    pub fn identity(&self) -> &RouterIdentity {
        &self.identity
    }

    /// Returns the router's metrics.
    pub fn metrics(&self) -> &RouterMetrics {
        &self.metrics
    }

    /// Drops a lost connection, so that its socket is closed.
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

    /// Returns the open connection, or opens one.
    pub async fn link(self: &Rc<Self>) -> Result<Rc<AgentLink>, AgentLinkError> {
        if let Some(link) = self.current_link() {
            return Ok(link);
        }
        let pending = match &*self.state.borrow() {
            PeerState::Connecting(done) => Some(done.clone()),
            _ => None,
        };
        if let Some(done) = pending {
            done.triggered().await;
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

/// Leaves the `Connecting` state when dropped, even if the connecting caller is cancelled.
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
        self.done.trigger();
    }
}
