//! What makes two requests the same to a backend server.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::ids::OrganisationId;

/// What a backend server is asked, and by whom.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Whose key the request bears.
    pub organisation: Option<&'a OrganisationId>,
    /// The body.
    pub body: &'a [u8],
}

/// A request's content reduced to 64 bits of its SHA-256, so that no caller can write a request that is
/// taken for another caller's. It is the same in every process, and unlike a request's id it
/// is the same again when a caller repeats the request.
///
/// ```
/// use papayamux_state::request_fingerprint::RequestFingerprint;
/// let fingerprint: RequestFingerprint = "00000000000000ab".parse().unwrap();
/// assert_eq!(fingerprint.to_string(), "00000000000000ab");
/// assert!("request".parse::<RequestFingerprint>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u64);

impl From<RequestContent<'_>> for RequestFingerprint {
    fn from(content: RequestContent<'_>) -> Self {
        let organisation = content.organisation.map_or("", OrganisationId::as_str);
        let fields = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.target.as_bytes(),
            organisation.as_bytes(),
            content.body,
        ];
        let mut hasher = Sha256::new();
        for field in fields {
            // The length keeps the end of one field apart from the beginning of the next.
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        Self(
            digest.iter().take(size_of::<u64>()).fold(0, |bits, byte| bits << 8 | u64::from(*byte)),
        )
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A text is no fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a fingerprint is a hexadecimal number of up to 16 digits")]
pub struct FingerprintError;

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| FingerprintError)
    }
}
