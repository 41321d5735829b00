//! The key by which a caller proves its organisation.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Bytes that a key may have at most; longer ones are refused before they are looked up.
const MAX_KEY_BYTES: usize = 512;

/// Why a text is not an API key. The text itself is a secret and is not repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ApiKeyError {
    /// There is no text.
    #[error("an API key must not be empty")]
    Empty,
    /// The text is too long.
    #[error("an API key has at most {MAX_KEY_BYTES} bytes")]
    TooLong,
}

/// An API key. Its text appears neither in `Debug` nor in logs.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(String);

impl FromStr for ApiKey {
    type Err = ApiKeyError;

    fn from_str(text: &str) -> Result<Self, ApiKeyError> {
        match text.len() {
            0 => Err(ApiKeyError::Empty),
            length if length > MAX_KEY_BYTES => Err(ApiKeyError::TooLong),
            _ => Ok(Self(text.to_string())),
        }
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}
