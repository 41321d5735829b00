//! Identifiers, each with a type of its own.

mod incarnation;
mod request_id;
mod server_key;
mod server_start;
mod text;

pub use incarnation::Incarnation;
pub use request_id::{RequestId, RequestIdSource};
pub use server_key::ServerKey;
pub use server_start::ServerStart;
pub use text::{
    validate_id, AdapterId, ChatKey, FailureDomain, IdempotencyKey, ModelId, OrganisationId,
    Region, RouteId, ServerId, ServerName, ServiceId, SoftwareVersion,
};

use thiserror::Error;

/// The error of parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an identifier may not be empty")]
    Empty,
    /// The text is too long.
    #[error("an identifier may have at most {limit} bytes, this has {length}")]
    TooLong {
        /// The length of the text in bytes.
        length: usize,
        /// The maximum length in bytes.
        limit: usize,
    },
    /// The text contains a character that is not allowed.
    #[error("character {character:?} is not allowed in an identifier")]
    Character {
        /// The character.
        character: char,
    },
    /// The text is not a number of the expected form.
    #[error("{text:?} is not of the form {form}")]
    Form {
        /// The text that was parsed.
        text: String,
        /// The expected form.
        form: &'static str,
    },
}
