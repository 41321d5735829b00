//! Opening of a connection to an agent, from a router or another agent: connect, exchange hello and
//! welcome, authenticate. Each step consumes the previous one, so that nothing can be sent to an
//! agent that has not authenticated itself.

use std::net::SocketAddr;
use std::time::Duration;

use papayamux_protocol::link::{
    AgentMessage, AgentWelcome, RouterHello, RouterMessage, PROTOCOL_VERSION,
};
use papayamux_protocol::proof::{ProofContext, ProofNonce, ProofRole, SharedSecret};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::ids::{FailureDomain, Incarnation, ServerId};
use thiserror::Error;

use crate::link::{connect, start_link, LinkError, LinkReceiver, LinkSender};

/// Identity that a process presents when it connects to an agent.
#[derive(Debug, Clone)]
pub struct LinkIdentity {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the process.
    pub domain: FailureDomain,
    /// The fleet's shared secret, if agents must prove that they know it.
    pub secret: Option<SharedSecret>,
}

/// The receiving half of a connection to an agent.
pub type AgentReceiver = LinkReceiver<RouterFrame, AgentFrame>;

/// Timeout for the agent's answer to the hello message.
const WELCOME_TIMEOUT: Duration = Duration::from_secs(2);
/// Stream number of messages about the connection itself.
pub const CONTROL_STREAM: u64 = 0;

/// The error of opening a connection to an agent.
#[derive(Debug, Error)]
pub enum AgentLinkError {
    /// The connection failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The agent sent no welcome message within the timeout, or closed the connection.
    #[error("the agent sent no welcome message")]
    NoWelcome,
    /// The agent uses another protocol version.
    #[error("the agent uses protocol version {version}, this process {PROTOCOL_VERSION}")]
    Version {
        /// Protocol version of the agent.
        version: u32,
    },
    /// The agent of another server answered.
    #[error("the agent belongs to server {found}, not to {expected}")]
    OtherServer {
        /// The expected server.
        expected: ServerId,
        /// The server whose agent answered.
        found: ServerId,
    },
    /// The agent sent no proof of the fleet's secret, or a wrong one.
    #[error("the agent did not prove that it knows the fleet's secret")]
    Unauthenticated,
    /// The agent requires a proof, and this process has no secret.
    #[error("the agent requires a proof of the fleet's secret, but the settings name no secret")]
    SecretNeeded,
}

impl AgentLinkError {
    /// Returns the stable label for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            AgentLinkError::Link(_) => "unreachable",
            AgentLinkError::NoWelcome => "no_welcome",
            AgentLinkError::Version { .. } => "version",
            AgentLinkError::OtherServer { .. } => "other_server",
            AgentLinkError::Unauthenticated => "unproved",
            AgentLinkError::SecretNeeded => "secret_needed",
        }
    }
}

/// A connection on which nothing has been sent yet.
struct ConnectedLink {
    sender: LinkSender<RouterMessage>,
    receiver: AgentReceiver,
}

/// A connection on which the agent of the expected server has sent its welcome message.
struct WelcomedLink {
    sender: LinkSender<RouterMessage>,
    receiver: AgentReceiver,
    welcome: AgentWelcome,
    nonce: Option<ProofNonce>,
}

/// A connection whose two ends have authenticated themselves as far as the settings require it.
pub struct AuthenticatedLink {
    /// The sending half.
    pub sender: LinkSender<RouterMessage>,
    /// The receiving half.
    pub receiver: AgentReceiver,
    /// The agent's welcome message.
    pub welcome: AgentWelcome,
}

/// Opens a connection to the agent of `server`.
pub async fn open_link(
    server: &ServerId,
    address: SocketAddr,
    identity: &LinkIdentity,
) -> Result<AuthenticatedLink, AgentLinkError> {
    let connected = ConnectedLink::connect(address).await?;
    connected.send_hello(server, identity).await?.authenticate(identity)
}

impl ConnectedLink {
    async fn connect(address: SocketAddr) -> Result<Self, AgentLinkError> {
        let (sender, receiver) = start_link(connect(address).await?)?;
        Ok(Self { sender, receiver })
    }

    async fn send_hello(
        mut self,
        server: &ServerId,
        identity: &LinkIdentity,
    ) -> Result<WelcomedLink, AgentLinkError> {
        let nonce = identity.secret.as_ref().map(|_| ProofNonce::generate());
        let (incarnation, domain) = (identity.incarnation, identity.domain.clone());
        let hello = RouterHello { version: PROTOCOL_VERSION, incarnation, domain, nonce };
        self.sender.send(CONTROL_STREAM, RouterMessage::Hello(hello));
        let welcome = receive_welcome(&mut self.receiver).await?;
        if welcome.version != PROTOCOL_VERSION {
            return Err(AgentLinkError::Version { version: welcome.version });
        }
        if welcome.server != *server {
            let expected = server.clone();
            return Err(AgentLinkError::OtherServer { expected, found: welcome.server });
        }
        Ok(WelcomedLink { sender: self.sender, receiver: self.receiver, welcome, nonce })
    }
}

impl WelcomedLink {
    /// Checks the agent's proof and sends that of this process.
    fn authenticate(self, identity: &LinkIdentity) -> Result<AuthenticatedLink, AgentLinkError> {
        match (&identity.secret, self.welcome.nonce) {
            (None, None) => {}
            (None, Some(_)) => return Err(AgentLinkError::SecretNeeded),
            (Some(_), None) => return Err(AgentLinkError::Unauthenticated),
            (Some(secret), Some(agent_nonce)) => {
                self.exchange_proofs(secret, agent_nonce, identity)?
            }
        }
        let Self { sender, receiver, welcome, .. } = self;
        Ok(AuthenticatedLink { sender, receiver, welcome })
    }

    fn exchange_proofs(
        &self,
        secret: &SharedSecret,
        agent_nonce: ProofNonce,
        identity: &LinkIdentity,
    ) -> Result<(), AgentLinkError> {
        let context = ProofContext {
            router_nonce: self.nonce.ok_or(AgentLinkError::Unauthenticated)?,
            agent_nonce,
            router: identity.incarnation,
            agent: self.welcome.incarnation,
            server: self.welcome.server.clone(),
        };
        let proof = self.welcome.proof.as_ref().ok_or(AgentLinkError::Unauthenticated)?;
        if !secret.accepts(ProofRole::Agent, &context, proof) {
            return Err(AgentLinkError::Unauthenticated);
        }
        let tag = secret.prove(ProofRole::Router, &context);
        self.sender.send(CONTROL_STREAM, RouterMessage::Prove(tag));
        Ok(())
    }
}

async fn receive_welcome(receiver: &mut AgentReceiver) -> Result<AgentWelcome, AgentLinkError> {
    let first = monoio::time::timeout(WELCOME_TIMEOUT, receiver.receive()).await;
    match first {
        Ok(Some(Ok(addressed))) => match addressed.message {
            AgentMessage::Welcome(welcome) => Ok(welcome),
            _ => Err(AgentLinkError::NoWelcome),
        },
        Ok(Some(Err(error))) => Err(error.into()),
        Ok(None) | Err(_) => Err(AgentLinkError::NoWelcome),
    }
}
