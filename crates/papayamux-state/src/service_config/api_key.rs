//! The API key by which a caller authenticates as an organisation.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Maximum length of a key in bytes, that of a whole configuration. What a caller may send is bounded by the
/// head of its request.
const MAX_KEY_BYTES: usize = 1024 * 1024;

/// The error of parsing an [`ApiKey`]. It doesn't contain the text, which is a secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ApiKeyError {
    /// The text is empty.
    #[error("an API key must not be empty")]
    Empty,
    /// The text is too long.
    #[error("an API key has at most {MAX_KEY_BYTES} bytes")]
    TooLong,
}

/// An API key. Its text is kept out of the `Debug` output and logs.
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

impl ApiKey {
    /// Returns the key's text, a secret, for sending it to another router of the fleet.
    pub fn secret_text(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}
