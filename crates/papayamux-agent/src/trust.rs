//! Authorises routers and performs the handshake of their connections.

use std::time::Duration;

use papayamux_protocol::link::{
    Addressed, AgentMessage, AgentWelcome, RouterHello, RouterMessage, PROTOCOL_VERSION,
};
use papayamux_protocol::proof::{ProofContext, ProofNonce, ProofRole, SharedSecret};
use papayamux_protocol::wire::{AgentFrame, RouterFrame};
use papayamux_state::address_range::AddressRange;
use papayamux_transport::agent_link::CONTROL_STREAM;
use papayamux_transport::link::{LinkError, LinkReceiver, LinkSender};
use thiserror::Error;

use crate::agent_core::AgentCore;

/// The receiving half of a connection of a router.
pub type RouterReceiver = LinkReceiver<AgentFrame, RouterFrame>;

/// The time within which a router must send its hello message, and then its proof.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// The rules for which routers may connect.
#[derive(Debug, Clone, Default)]
pub struct RouterTrust {
    /// The secret of the fleet, or `None` if routers need no proof.
    pub secret: Option<SharedSecret>,
    /// The addresses from which routers may connect. If empty, all addresses are allowed.
    pub allow: Vec<AddressRange>,
}

/// The error of a failed handshake.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection broke.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The router did not send a hello message in time.
    #[error("the router did not send a hello message")]
    NoHello,
    /// The router uses another protocol version.
    #[error("the router uses protocol version {0}, this agent uses {PROTOCOL_VERSION}")]
    Version(u32),
    /// The router sent no proof of the fleet's secret in time.
    #[error("the router did not send a proof of the fleet's secret")]
    NoProof,
    /// The router sent an invalid proof.
    #[error("the router sent an invalid proof of the fleet's secret")]
    WrongProof,
}

impl HandshakeError {
    /// Returns the stable label for metrics.
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

/// An accepted connection whose router has not sent a hello message yet.
pub struct AcceptedLink {
    sender: LinkSender<AgentMessage>,
    receiver: RouterReceiver,
}

/// A connection whose hello message was answered and whose proof is still to be verified.
pub struct UnverifiedLink {
    sender: LinkSender<AgentMessage>,
    receiver: RouterReceiver,
    expected_proof: Option<(SharedSecret, ProofContext)>,
}

/// A connection of a router that has passed the handshake.
pub struct TrustedLink {
    /// The sending half of the connection.
    pub sender: LinkSender<AgentMessage>,
    /// The receiving half of the connection.
    pub receiver: RouterReceiver,
}

impl AcceptedLink {
    /// Creates an accepted connection from its two halves.
    pub fn new(sender: LinkSender<AgentMessage>, receiver: RouterReceiver) -> Self {
        Self { sender, receiver }
    }

    /// Receives the hello message and answers it.
    pub async fn receive_hello(
        mut self,
        core: &AgentCore,
    ) -> Result<UnverifiedLink, HandshakeError> {
        let Some(RouterMessage::Hello(hello)) = receive_within(&mut self.receiver).await? else {
            return Err(HandshakeError::NoHello);
        };
        let expected_proof =
            core.trust.secret.clone().map(|secret| (secret, context(core, &hello)));
        self.sender
            .send(CONTROL_STREAM, AgentMessage::Welcome(welcome(core, expected_proof.as_ref())));
        if hello.version != PROTOCOL_VERSION {
            return Err(HandshakeError::Version(hello.version));
        }
        Ok(UnverifiedLink { sender: self.sender, receiver: self.receiver, expected_proof })
    }
}

impl UnverifiedLink {
    /// Receives and verifies the router's proof, if a secret is set.
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

/// Creates the context that the proofs cover. A router that sends no nonce requests no proof; the
/// agent then generates one in its place.
fn context(core: &AgentCore, hello: &RouterHello) -> ProofContext {
    ProofContext {
        router_nonce: hello.nonce.unwrap_or_else(ProofNonce::generate),
        agent_nonce: ProofNonce::generate(),
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
