//! Mutual authentication of routers, agents and peers with the fleet's shared secret.
//!
//! Both sides generate a nonce for each connection and send a keyed hash (HMAC-SHA-256) over both
//! nonces, both incarnations and, between routers and agents, the server. The secret itself is
//! never sent, a proof is not valid on another connection, and a proof for one role is not valid
//! for the other.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use papayamux_state::ids::{Incarnation, ServerId};
use sha2::Sha256;
use thiserror::Error;

/// Minimum length of a secret.
pub const MIN_SECRET_BYTES: usize = 16;
/// The length of a nonce.
pub const NONCE_BYTES: usize = 16;

/// The error of parsing a secret. It does not contain the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the secret has {length} bytes, it must have at least {MIN_SECRET_BYTES}")]
pub struct SecretError {
    /// The length of the text in bytes.
    pub length: usize,
}

/// The secret shared by all routers and agents of a fleet. It has no `Display`, and `Debug` hides
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

/// A random number that is used for one proof only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofNonce(pub [u8; NONCE_BYTES]);

impl ProofNonce {
    /// Generates a random nonce.
    pub fn generate() -> Self {
        Self(rand::random())
    }
}

/// The keyed hash that proves knowledge of the secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProofTag(pub Bytes);

/// The side that proves knowledge of the secret.
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

/// The data covered by a proof: one connection between one incarnation of a router and one of an
/// agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProofContext {
    /// The router's nonce.
    pub router_nonce: ProofNonce,
    /// The agent's nonce.
    pub agent_nonce: ProofNonce,
    /// The router's incarnation.
    pub router: Incarnation,
    /// The agent's incarnation.
    pub agent: Incarnation,
    /// The agent's backend server.
    pub server: ServerId,
}

/// A peer's side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSide {
    /// The peer that opened the connection.
    Opener,
    /// The peer that accepted the connection.
    Acceptor,
}

impl PeerSide {
    fn label(self) -> &'static [u8] {
        match self {
            PeerSide::Opener => b"papayamux peer opener",
            PeerSide::Acceptor => b"papayamux peer acceptor",
        }
    }

    /// Returns the opposite side.
    pub fn other(self) -> Self {
        match self {
            PeerSide::Opener => PeerSide::Acceptor,
            PeerSide::Acceptor => PeerSide::Opener,
        }
    }
}

/// The data covered by a proof between peers: one connection between two incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProofContext {
    /// The opener's nonce.
    pub opener_nonce: ProofNonce,
    /// The acceptor's nonce.
    pub acceptor_nonce: ProofNonce,
    /// The opener's incarnation.
    pub opener: Incarnation,
    /// The acceptor's incarnation.
    pub acceptor: Incarnation,
}

impl SharedSecret {
    /// Computes the proof for `role`.
    pub fn prove(&self, role: ProofRole, context: &ProofContext) -> ProofTag {
        let tag = self.keyed_hash(role, context).map(|hash| hash.finalize().into_bytes());
        ProofTag(tag.map_or_else(Bytes::new, |tag| Bytes::copy_from_slice(&tag)))
    }

    /// Returns whether `tag` is a valid proof for `role`, comparing in constant time.
    pub fn accepts(&self, role: ProofRole, context: &ProofContext, tag: &ProofTag) -> bool {
        self.keyed_hash(role, context).is_some_and(|hash| hash.verify_slice(&tag.0).is_ok())
    }

    /// Computes the proof for a peer on the given side of the connection.
    pub fn prove_to_peer(&self, side: PeerSide, context: &PeerProofContext) -> ProofTag {
        let tag = self.peer_hash(side, context).map(|hash| hash.finalize().into_bytes());
        ProofTag(tag.map_or_else(Bytes::new, |tag| Bytes::copy_from_slice(&tag)))
    }

    /// Returns whether `tag` is a valid proof of a peer on the given side.
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
