//! Whom the agent lets in, and how a router's connection opens.

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

/// The receiving half of a router's connection.
pub type RouterReceiver = LinkReceiver<AgentFrame, RouterFrame>;

/// How long a router may take to say hello, and to prove itself.
const HELLO_WITHIN: Duration = Duration::from_secs(5);

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
pub enum GreetingError {
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

impl GreetingError {
    /// The stable word for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            GreetingError::Link(_) => "broken",
            GreetingError::NoHello => "no_hello",
            GreetingError::Version(_) => "version",
            GreetingError::NoProof => "no_proof",
            GreetingError::WrongProof => "wrong_proof",
        }
    }
}

/// A connection whose router has said nothing yet.
pub struct SilentLink {
    sender: LinkSender<AgentMessage>,
    receiver: RouterReceiver,
}

/// A connection whose router has been welcomed and still has to prove itself.
pub struct GreetedLink {
    sender: LinkSender<AgentMessage>,
    receiver: RouterReceiver,
    awaited: Option<(SharedSecret, ProofContext)>,
}

/// A connection of a router that may give work.
pub struct TrustedLink {
    /// The sending half.
    pub sender: LinkSender<AgentMessage>,
    /// The receiving half.
    pub receiver: RouterReceiver,
}

impl SilentLink {
    /// A connection as it was accepted.
    pub fn new(sender: LinkSender<AgentMessage>, receiver: RouterReceiver) -> Self {
        Self { sender, receiver }
    }

    /// Takes the hello and answers it.
    pub async fn greet(mut self, core: &AgentCore) -> Result<GreetedLink, GreetingError> {
        let Some(RouterMessage::Hello(hello)) = receive_within(&mut self.receiver).await? else {
            return Err(GreetingError::NoHello);
        };
        let awaited = core.trust.secret.clone().map(|secret| (secret, context(core, &hello)));
        self.sender.send(CONTROL_STREAM, AgentMessage::Welcome(welcome(core, awaited.as_ref())));
        if hello.version != PROTOCOL_VERSION {
            return Err(GreetingError::Version(hello.version));
        }
        Ok(GreetedLink { sender: self.sender, receiver: self.receiver, awaited })
    }
}

impl GreetedLink {
    /// Waits for the router's proof, where one is asked for.
    pub async fn verify(mut self) -> Result<TrustedLink, GreetingError> {
        if let Some((secret, context)) = &self.awaited {
            let Some(RouterMessage::Prove(tag)) = receive_within(&mut self.receiver).await? else {
                return Err(GreetingError::NoProof);
            };
            if !secret.accepts(ProofRole::Router, context, &tag) {
                return Err(GreetingError::WrongProof);
            }
        }
        Ok(TrustedLink { sender: self.sender, receiver: self.receiver })
    }
}

async fn receive_within(
    receiver: &mut RouterReceiver,
) -> Result<Option<RouterMessage>, GreetingError> {
    match monoio::time::timeout(HELLO_WITHIN, receiver.receive()).await {
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

fn welcome(core: &AgentCore, awaited: Option<&(SharedSecret, ProofContext)>) -> AgentWelcome {
    AgentWelcome {
        version: PROTOCOL_VERSION,
        incarnation: core.incarnation,
        server: core.server.clone(),
        domain: core.domain.clone(),
        clock: core.clock(),
        nonce: awaited.map(|(_, context)| context.agent_nonce),
        proof: awaited.map(|(secret, context)| secret.prove(ProofRole::Agent, context)),
    }
}
