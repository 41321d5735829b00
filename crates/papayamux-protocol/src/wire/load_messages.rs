//! Prost types of load reports and probes. Retired field numbers are never reused.

/// The wire form of [`papayamux_state::load::GroupLoad`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireGroupLoad {
    /// The group.
    #[prost(fixed32, tag = "1")]
    pub group: u32,
    /// The mean, in thousandths of a request.
    #[prost(uint32, tag = "2")]
    pub mean_milli: u32,
    /// The total weight of the reports in the mean, in thousandths.
    #[prost(uint32, tag = "3")]
    pub samples_milli: u32,
    /// The number of servers declared in the group.
    #[prost(uint32, tag = "4")]
    pub servers: u32,
}

/// The wire form of [`papayamux_state::load::LoadReport`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireLoad {
    /// The number of requests admitted and not finished.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// The number of queued requests.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Maximum number of concurrently running requests.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Time that the engine needs for the prompts already sent to it, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub backlog_ms: u32,
}

/// The wire form of [`crate::link::LoadProbe`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireProbe {
    /// Hashes of blocks, truncated to 32 bits.
    #[prost(fixed32, repeated, tag = "1")]
    pub checkpoints: Vec<u32>,
    /// The chat's hash.
    #[prost(fixed64, tag = "2")]
    pub chat: u64,
    /// The router's mean load of the group.
    #[prost(message, optional, tag = "3")]
    pub group_load: Option<WireGroupLoad>,
}

/// The wire form of [`crate::link::ProbeReply`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireProbed {
    /// The load.
    #[prost(message, optional, tag = "1")]
    pub load: Option<WireLoad>,
    /// The number of leading checkpoints that are cached.
    #[prost(uint32, tag = "2")]
    pub warm: u32,
    /// The server that the chat was last sent to, if it is another one.
    #[prost(string, optional, tag = "3")]
    pub elsewhere: Option<String>,
    /// The prefill rate, in tokens per second.
    #[prost(uint32, tag = "4")]
    pub prefill_rate: u32,
}

/// The wire form of [`crate::link::MovedChat`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireMoved {
    /// The chat's hash.
    #[prost(fixed64, tag = "1")]
    pub chat: u64,
    /// The server that served the chat.
    #[prost(string, tag = "2")]
    pub server: String,
}
