//! Why a connection to a peer ends.

use std::time::Duration;

use papayamux_transport::link::LinkError;
use thiserror::Error;

/// How long a peer may be silent; it sends a summary every two seconds.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Why a link ended.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// The connection failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The peer said no hello.
    #[error("the peer said no hello in time")]
    NoHello,
    /// The peer speaks another version.
    #[error("the peer speaks version {0}")]
    Version(u32),
    /// The connection leads back to this process.
    #[error("the connection leads back to this process")]
    SelfConnection,
    /// The peer fell silent.
    #[error("the peer was silent for {SILENCE_TIMEOUT:?}")]
    Silent,
    /// The peer did not prove that it knows the fleet's secret.
    #[error("the peer did not prove that it knows the fleet's secret")]
    Proof,
    /// The peer's address is not among those that may connect.
    #[error("peers may not connect from this address")]
    Address,
    /// A message came out of its turn.
    #[error("a message came out of its turn")]
    UnexpectedMessage,
}

impl PeerError {
    /// The reason's label.
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
