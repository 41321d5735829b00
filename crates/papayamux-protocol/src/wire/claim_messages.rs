//! Prost types of claims. Retired field numbers are never reused.

use bytes::Bytes;

use super::shared_messages::{WireRefusal, WireRequestId};

/// The wire form of [`crate::link::ClaimRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireClaim {
    /// The witness's incarnation.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// The deadline for granting the claim, in milliseconds of the witness's clock.
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
    /// Digests of the fleet views under which the attempt requests majorities, starting with the
    /// current one.
    #[prost(fixed64, repeated, tag = "6")]
    pub views: Vec<u64>,
}

/// The wire form of [`crate::link::ClaimReply`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireClaimReply {
    /// The refusal; absent if the claim is granted.
    #[prost(message, optional, tag = "1")]
    pub refusal: Option<WireRefusal>,
    /// The attempt that holds the key.
    #[prost(message, optional, tag = "2")]
    pub holder: Option<WireRequestId>,
    /// The server to which that attempt was sent.
    #[prost(message, optional, tag = "3")]
    pub place: Option<WirePlace>,
}

/// The wire form of [`papayamux_state::claims::RunLocation`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WirePlace {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The address on which the server's agent listens.
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
    /// The server to which the attempt is sent; absent if the claim is released.
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
