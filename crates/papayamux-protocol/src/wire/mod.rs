//! The wire format: prost types, their conversion from and to messages, and framing.

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

/// The error of decoding a wire message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// A required part is missing.
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
        /// The cause.
        source: IdError,
    },
    /// A part has an invalid length.
    #[error("message part {part:?}: invalid length {length}")]
    Length {
        /// The part's name.
        part: &'static str,
        /// The length in bytes, or in elements for a list.
        length: usize,
    },
    /// An address is malformed.
    #[error("message part {part:?}: {source}")]
    Address {
        /// The part's name.
        part: &'static str,
        /// The cause.
        source: std::net::AddrParseError,
    },
    /// A number is outside the defined values.
    #[error("message part {part:?}: invalid value {number}")]
    Number {
        /// The part's name.
        part: &'static str,
        /// The number.
        number: u32,
    },
    /// A list or text exceeds its maximum length.
    #[error("message part {part:?} has {count} elements, the maximum is {limit}")]
    TooMany {
        /// The part's name.
        part: &'static str,
        /// The number of elements.
        count: usize,
        /// The maximum number of elements.
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
