//! Errors that close a peer connection.

use std::time::Duration;

use papayamux_transport::link::LinkError;
use thiserror::Error;

/// Maximum time without a message from a peer, which sends a summary every two seconds.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// The error that closed a link.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// The connection failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The peer sent no message during the handshake, or another one than its hello.
    #[error("the peer did not complete the handshake")]
    NoHello,
    /// The peer uses another protocol version.
    #[error("the peer uses protocol version {0}")]
    Version(u32),
    /// The connection leads back to this process.
    #[error("the connection leads back to this process")]
    SelfConnection,
    /// The peer sent nothing for `SILENCE_TIMEOUT`.
    #[error("no message from the peer for {SILENCE_TIMEOUT:?}")]
    Silent,
    /// The peer did not prove that it knows the fleet's secret.
    #[error("the peer did not prove that it knows the fleet's secret")]
    Proof,
    /// The peer's address may not connect.
    #[error("the settings don't allow peers to connect from this address")]
    Address,
    /// A message arrived that isn't allowed after the handshake.
    #[error("the peer sent a handshake message after the handshake")]
    UnexpectedMessage,
}

impl PeerError {
    /// Returns the reason's label in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            PeerError::Link(_) => "broken",
            PeerError::NoHello => "no_hello",
            PeerError::Version(_) => "version",
            PeerError::SelfConnection => "itself",
            PeerError::Silent => "silent",
            PeerError::Proof => "proof",
            PeerError::Address => "address",
            PeerError::UnexpectedMessage => "turn",
        }
    }
}
