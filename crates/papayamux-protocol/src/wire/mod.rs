//! The wire form of messages: prost types, their conversion, and frames.

mod convert_agent;
mod convert_router;
mod frame_codec;
mod messages;

pub use frame_codec::{CodecError, FrameCodec, FrameMessage};
pub use messages::*;

use papayamux_state::ids::IdError;
use thiserror::Error;

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
    /// A number has no meaning.
    #[error("message part {part:?}: {number} has no meaning")]
    Number {
        /// The part's name.
        part: &'static str,
        /// The number.
        number: u32,
    },
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
