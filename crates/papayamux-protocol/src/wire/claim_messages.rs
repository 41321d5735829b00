//! Prost types of claims. Field numbers are never used again once retired.

use bytes::Bytes;

use super::shared_messages::{WireRefusal, WireRequestId};

/// The wire form of [`crate::link::ClaimRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireClaim {
    /// The witness's life.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// The witness's time before which to grant, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub grant_before_ms: u64,
    /// The hashed key, 16 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub key: Bytes,
    /// The call's fingerprint, 16 bytes.
    #[prost(bytes = "bytes", tag = "4")]
    pub fingerprint: Bytes,
    /// The attempt.
    #[prost(message, optional, tag = "5")]
    pub claim: Option<WireRequestId>,
    /// Digests of the fleets asked under, the one in force first.
    #[prost(fixed64, repeated, tag = "6")]
    pub views: Vec<u64>,
}

/// The wire form of [`crate::link::ClaimReply`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireClaimReply {
    /// Why nothing was granted; absent for a grant.
    #[prost(message, optional, tag = "1")]
    pub refusal: Option<WireRefusal>,
    /// The attempt that holds the key.
    #[prost(message, optional, tag = "2")]
    pub holder: Option<WireRequestId>,
    /// Where that attempt was brought to.
    #[prost(message, optional, tag = "3")]
    pub place: Option<WirePlace>,
}

/// The wire form of [`papayamux_state::claims::RunLocation`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WirePlace {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Where its agent listens.
    #[prost(string, tag = "2")]
    pub agent: String,
}

/// The wire form of [`crate::link::ClaimNotice`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireClaimNotice {
    /// The hashed key, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// The attempt.
    #[prost(message, optional, tag = "2")]
    pub claim: Option<WireRequestId>,
    /// Where the attempt is brought to; absent where it is released.
    #[prost(message, optional, tag = "3")]
    pub place: Option<WirePlace>,
}

/// The wire form of [`crate::link::RecallRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireRecall {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// The call's fingerprint, 16 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub fingerprint: Bytes,
}
