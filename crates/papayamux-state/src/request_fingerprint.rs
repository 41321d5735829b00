//! Fingerprints of requests: equal for requests that look the same to a backend server.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::ids::OrganisationId;

/// The content of a request that a backend server sees, with the calling organisation.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// The organisation whose API key the request carries.
    pub organisation: Option<&'a OrganisationId>,
    /// The request body, in consecutive segments.
    pub body: &'a [&'a [u8]],
}

/// The first 64 bits of the SHA-256 of a request's content. A cryptographic hash keeps callers from
/// crafting a request that is mistaken for another caller's.
///
/// The fingerprint is the same in every process. Unlike the request id, it is also the same for
/// each retry by the caller.
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
        ];
        let mut hasher = Sha256::new();
        // The length prefix marks where one field ends and the next begins.
        for field in fields {
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let body_bytes: u64 = content.body.iter().map(|segment| segment.len() as u64).sum();
        hasher.update(body_bytes.to_le_bytes());
        for segment in content.body {
            hasher.update(segment);
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

/// The error of parsing a [`RequestFingerprint`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a fingerprint is a hexadecimal number of up to 16 digits")]
pub struct FingerprintError;

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| FingerprintError)
    }
}
