//! The parts of a claim: the key, the call, and the attempt that claims it.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{IdempotencyKey, OrganisationId, RequestId};

/// An organisation's idempotency key, hashed to 128 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Hashes `key` together with its organisation.
    pub fn new(organisation: &OrganisationId, key: &IdempotencyKey) -> Self {
        Self(hash_parts(&[organisation.as_str().as_bytes(), key.as_str().as_bytes()]))
    }

    /// Returns the number as sent on the wire.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl From<u128> for ClaimKey {
    fn from(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// A 128-bit hash of a call's method, path and body. A retry must have the same fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallFingerprint(u128);

impl CallFingerprint {
    /// Computes the fingerprint of a call.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(hash_parts(&[method.as_bytes(), path.as_bytes(), body]))
    }

    /// Returns the number as sent on the wire.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl From<u128> for CallFingerprint {
    fn from(number: u128) -> Self {
        Self(number)
    }
}

/// Identifies one attempt at claiming a key. It is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub RequestId);

impl fmt::Display for ClaimId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
