//! The wire form of messages: prost types, their conversion, and frames.

mod claim_messages;
mod control_length;
mod convert_agent;
mod convert_claim;
mod convert_load;
mod convert_peer;
mod convert_router;
mod convert_serving;
mod frame_codec;
mod load_messages;
mod messages;
mod peer;
mod serving_messages;
mod shared_messages;

pub use claim_messages::*;
pub use control_length::{agent_control_length, router_control_length};
pub use convert_load::MAX_CHECKPOINTS;
pub use frame_codec::{CodecError, FrameCodec, FrameMessage};
pub use load_messages::*;
pub use messages::*;
pub use peer::*;
pub use serving_messages::*;
pub use shared_messages::*;

use bytes::Bytes;
use papayamux_state::ids::IdError;
use thiserror::Error;

use crate::proof::ProofNonce;

/// Why a wire message is not a valid message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// A part that must be there is missing.
    #[error("message part {part:?} is missing")]
    Missing {
        /// The part's name.
        part: &'static str,
    },
    /// An identifier is malformed.
    #[error("message part {part:?}: {source}")]
    Identifier {
        /// The part's name.
        part: &'static str,
        /// What is wrong with it.
        source: IdError,
    },
    /// A part does not have the length that it must have.
    #[error("message part {part:?}: {length} bytes make no sense")]
    Length {
        /// The part's name.
        part: &'static str,
        /// Bytes it has.
        length: usize,
    },
    /// An address is malformed.
    #[error("message part {part:?}: {source}")]
    Address {
        /// The part's name.
        part: &'static str,
        /// What is wrong with it.
        source: std::net::AddrParseError,
    },
    /// A number has no meaning.
    #[error("message part {part:?}: {number} has no meaning")]
    Number {
        /// The part's name.
        part: &'static str,
        /// The number.
        number: u32,
    },
    /// A list or text is longer than its bound.
    #[error("message part {part:?} has {count} elements, the bound is {limit}")]
    TooMany {
        /// The part's name.
        part: &'static str,
        /// Elements it has.
        count: usize,
        /// Elements it may have.
        limit: usize,
    },
}

pub(crate) fn nonce_bytes(nonce: ProofNonce) -> Bytes {
    Bytes::copy_from_slice(&nonce.0)
}

pub(crate) fn parse_nonce(bytes: Bytes) -> Result<ProofNonce, WireError> {
    let length = bytes.len() as u32;
    let nonce = bytes.as_ref().try_into();
    nonce.map(ProofNonce).map_err(|_| WireError::Number { part: "nonce", number: length })
}

pub(crate) fn required<T>(part: &'static str, value: Option<T>) -> Result<T, WireError> {
    value.ok_or(WireError::Missing { part })
}

pub(crate) fn identifier<T>(part: &'static str, text: &str) -> Result<T, WireError>
where
    T: std::str::FromStr<Err = IdError>,
{
    text.parse().map_err(|source| WireError::Identifier { part, source })
}
