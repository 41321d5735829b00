//! How routers and agents prove to each other that they know the fleet's secret.
//!
//! Both sides draw a nonce for each connection and send a keyed hash (HMAC-SHA-256) over both
//! nonces, both lives and the server. The secret itself never travels, a proof is of no use on
//! another connection, and a proof of one role is none of the other.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use papayamux_state::ids::{Incarnation, ServerId};
use sha2::Sha256;
use thiserror::Error;

/// Bytes of the shortest secret.
pub const MIN_SECRET_BYTES: usize = 16;
/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;

/// Why a text is no secret. It does not repeat the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the secret has {length} bytes, it must have at least {MIN_SECRET_BYTES}")]
pub struct SecretError {
    /// Bytes that it has.
    pub length: usize,
}

/// The secret that all routers and agents of a fleet know. It has no `Display`, and `Debug` hides
/// it.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedSecret(String);

impl fmt::Debug for SharedSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SharedSecret(hidden)")
    }
}

impl FromStr for SharedSecret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        match text.len() {
            length if length < MIN_SECRET_BYTES => Err(SecretError { length }),
            _ => Ok(Self(text.to_string())),
        }
    }
}

/// A number that is used once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofNonce(pub [u8; NONCE_BYTES]);

impl ProofNonce {
    /// Draws a nonce.
    pub fn generate() -> Self {
        Self(rand::random())
    }
}

/// The keyed hash that proves the secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProofTag(pub Bytes);

/// Who proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofRole {
    /// The router, which opened the connection.
    Router,
    /// The agent.
    Agent,
}

impl ProofRole {
    fn label(self) -> &'static [u8] {
        match self {
            ProofRole::Router => b"papayamux router",
            ProofRole::Agent => b"papayamux agent.",
        }
    }
}

/// What a proof covers: one connection between one life of a router and one of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProofContext {
    /// The router's nonce.
    pub router_nonce: ProofNonce,
    /// The agent's nonce.
    pub agent_nonce: ProofNonce,
    /// The router's life.
    pub router: Incarnation,
    /// The agent's life.
    pub agent: Incarnation,
    /// The agent's server.
    pub server: ServerId,
}

/// A peer's side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSide {
    /// It opened the connection.
    Opener,
    /// It accepted the connection.
    Acceptor,
}

impl PeerSide {
    fn label(self) -> &'static [u8] {
        match self {
            PeerSide::Opener => b"papayamux peer opener",
            PeerSide::Acceptor => b"papayamux peer acceptor",
        }
    }

    /// The side at the other end.
    pub fn other(self) -> Self {
        match self {
            PeerSide::Opener => PeerSide::Acceptor,
            PeerSide::Acceptor => PeerSide::Opener,
        }
    }
}

/// What a proof between peers covers: one connection between two lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProofContext {
    /// The opener's nonce.
    pub opener_nonce: ProofNonce,
    /// The acceptor's nonce.
    pub acceptor_nonce: ProofNonce,
    /// The opener's life.
    pub opener: Incarnation,
    /// The acceptor's life.
    pub acceptor: Incarnation,
}

impl SharedSecret {
    /// Proves the secret in `role`.
    pub fn prove(&self, role: ProofRole, context: &ProofContext) -> ProofTag {
        let tag = self.keyed_hash(role, context).map(|hash| hash.finalize().into_bytes());
        ProofTag(tag.map_or_else(Bytes::new, |tag| Bytes::copy_from_slice(&tag)))
    }

    /// Whether `tag` proves the secret in `role`; takes the same time for each wrong one.
    pub fn accepts(&self, role: ProofRole, context: &ProofContext, tag: &ProofTag) -> bool {
        self.keyed_hash(role, context).is_some_and(|hash| hash.verify_slice(&tag.0).is_ok())
    }

    /// Proves the secret to a peer, from the given side of the connection.
    pub fn prove_to_peer(&self, side: PeerSide, context: &PeerProofContext) -> ProofTag {
        let tag = self.peer_hash(side, context).map(|hash| hash.finalize().into_bytes());
        ProofTag(tag.map_or_else(Bytes::new, |tag| Bytes::copy_from_slice(&tag)))
    }

    /// Whether `tag` proves that a peer on the given side knows the secret.
    pub fn accepts_peer(&self, side: PeerSide, context: &PeerProofContext, tag: &ProofTag) -> bool {
        self.peer_hash(side, context).is_some_and(|hash| hash.verify_slice(&tag.0).is_ok())
    }

    fn peer_hash(&self, side: PeerSide, context: &PeerProofContext) -> Option<Hmac<Sha256>> {
        let mut hash = Hmac::<Sha256>::new_from_slice(self.0.as_bytes()).ok()?;
        hash.update(side.label());
        hash.update(&context.opener_nonce.0);
        hash.update(&context.acceptor_nonce.0);
        hash.update(&context.opener.get().to_be_bytes());
        hash.update(&context.acceptor.get().to_be_bytes());
        Some(hash)
    }

    fn keyed_hash(&self, role: ProofRole, context: &ProofContext) -> Option<Hmac<Sha256>> {
        let mut hash = Hmac::<Sha256>::new_from_slice(self.0.as_bytes()).ok()?;
        hash.update(role.label());
        hash.update(&context.router_nonce.0);
        hash.update(&context.agent_nonce.0);
        hash.update(&context.router.get().to_be_bytes());
        hash.update(&context.agent.get().to_be_bytes());
        hash.update(context.server.as_str().as_bytes());
        Some(hash)
    }
}
