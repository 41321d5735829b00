//! Prost types shared by several kinds of messages.

/// The wire form of [`papayamux_state::ids::RequestId`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireRequestId {
    /// The router's incarnation.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The attempt's number.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The wire form of [`crate::link::RefusalNotice`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireRefusal {
    /// The reason's number.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// Milliseconds after which to retry.
    #[prost(uint32, tag = "2")]
    pub retry_after_ms: u32,
    /// A better server to try next.
    #[prost(string, optional, tag = "3")]
    pub better: Option<String>,
}
