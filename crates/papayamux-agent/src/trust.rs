//! Whom the agent lets in, and how a router's connection opens.

use std::time::Duration;

use papayamux_protocol::link::{
    Addressed, AgentMessage, AgentWelcome, RouterHello, RouterMessage, PROTOCOL_VERSION,
};
use papayamux_protocol::proof::{ProofContext, ProofNonce, ProofRole, SharedSecret};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::address_range::AddressRange;
use papayamux_transport::agent_link::CONNECTION;
use papayamux_transport::link::{LinkError, LinkReceiver, LinkSender};
use thiserror::Error;

use crate::agent_core::AgentCore;

/// The receiving half of a router's connection.
pub type RouterReceiver = LinkReceiver<AgentFrame, RouterFrame>;

/// How long a router may take to say hello, and to prove itself.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Which routers may connect.
#[derive(Debug, Clone, Default)]
pub struct RouterTrust {
    /// The fleet's secret, where routers have to know it.
    pub secret: Option<SharedSecret>,
    /// Addresses that may connect; all where it is empty.
    pub allow: Vec<AddressRange>,
}

/// Why a connection was not opened.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection broke.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The router said no hello in time.
    #[error("the router said no hello")]
    NoHello,
    /// The router speaks another version.
    #[error("the router speaks version {0}, this agent {PROTOCOL_VERSION}")]
    Version(u32),
    /// The router sent no proof of the fleet's secret.
    #[error("the router did not prove itself")]
    NoProof,
    /// The router's proof is wrong.
    #[error("the router's proof is wrong")]
    WrongProof,
}

impl HandshakeError {
    /// The stable word for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            HandshakeError::Link(_) => "broken",
            HandshakeError::NoHello => "no_hello",
            HandshakeError::Version(_) => "version",
            HandshakeError::NoProof => "no_proof",
            HandshakeError::WrongProof => "wrong_proof",
        }
    }
}

/// A connection whose router has said nothing yet.
pub struct AcceptedLink {
    sender: LinkSender<AgentMessage>,
    receiver: RouterReceiver,
}

/// A connection whose router has been welcomed and still has to prove itself.
pub struct UnverifiedLink {
    sender: LinkSender<AgentMessage>,
    receiver: RouterReceiver,
    expected_proof: Option<(SharedSecret, ProofContext)>,
}

/// A connection of a router that may give work.
pub struct TrustedLink {
    /// The sending half.
    pub sender: LinkSender<AgentMessage>,
    /// The receiving half.
    pub receiver: RouterReceiver,
}

impl AcceptedLink {
    /// A connection as it was accepted.
    pub fn new(sender: LinkSender<AgentMessage>, receiver: RouterReceiver) -> Self {
        Self { sender, receiver }
    }

    /// Takes the hello and answers it.
    pub async fn receive_hello(
        mut self,
        core: &AgentCore,
    ) -> Result<UnverifiedLink, HandshakeError> {
        let Some(RouterMessage::Hello(hello)) = receive_within(&mut self.receiver).await? else {
            return Err(HandshakeError::NoHello);
        };
        let expected_proof =
            core.trust.secret.clone().map(|secret| (secret, context(core, &hello)));
        self.sender.send(CONNECTION, AgentMessage::Welcome(welcome(core, expected_proof.as_ref())));
        if hello.version != PROTOCOL_VERSION {
            return Err(HandshakeError::Version(hello.version));
        }
        Ok(UnverifiedLink { sender: self.sender, receiver: self.receiver, expected_proof })
    }
}

impl UnverifiedLink {
    /// Waits for the router's proof, where one is asked for.
    pub async fn verify(mut self) -> Result<TrustedLink, HandshakeError> {
        if let Some((secret, context)) = &self.expected_proof {
            let Some(RouterMessage::Prove(tag)) = receive_within(&mut self.receiver).await? else {
                return Err(HandshakeError::NoProof);
            };
            if !secret.accepts(ProofRole::Router, context, &tag) {
                return Err(HandshakeError::WrongProof);
            }
        }
        Ok(TrustedLink { sender: self.sender, receiver: self.receiver })
    }
}

async fn receive_within(
    receiver: &mut RouterReceiver,
) -> Result<Option<RouterMessage>, HandshakeError> {
    match monoio::time::timeout(HELLO_TIMEOUT, receiver.receive()).await {
        Ok(Some(Ok(Addressed { message, .. }))) => Ok(Some(message)),
        Ok(Some(Err(error))) => Err(error.into()),
        Ok(None) | Err(_) => Ok(None),
    }
}

/// A router without a nonce asks for no proof; the agent then covers one of its own drawing.
fn context(core: &AgentCore, hello: &RouterHello) -> ProofContext {
    ProofContext {
        router_nonce: hello.nonce.unwrap_or_else(ProofNonce::draw),
        agent_nonce: ProofNonce::draw(),
        router: hello.incarnation,
        agent: core.incarnation,
        server: core.server.clone(),
    }
}

fn welcome(
    core: &AgentCore,
    expected_proof: Option<&(SharedSecret, ProofContext)>,
) -> AgentWelcome {
    AgentWelcome {
        version: PROTOCOL_VERSION,
        incarnation: core.incarnation,
        server: core.server.clone(),
        domain: core.domain.clone(),
        clock: core.clock(),
        nonce: expected_proof.map(|(_, context)| context.agent_nonce),
        proof: expected_proof.map(|(secret, context)| secret.prove(ProofRole::Agent, context)),
    }
}
