//! Prost types of loads and probes. Field numbers are never used again once retired.

/// The wire form of [`papayamux_state::load::GroupLoad`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireGroupLoad {
    /// The group.
    #[prost(fixed32, tag = "1")]
    pub group: u32,
    /// The mean, in thousandths of a request.
    #[prost(uint32, tag = "2")]
    pub mean_milli: u32,
    /// The weight of the reports in the mean, in thousandths.
    #[prost(uint32, tag = "3")]
    pub samples_milli: u32,
    /// Servers declared in the group.
    #[prost(uint32, tag = "4")]
    pub servers: u32,
}

/// The wire form of [`papayamux_state::load::LoadReport`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireLoad {
    /// Requests admitted and not finished.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Requests that may run at once.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Time for the prompts given before, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub backlog_ms: u32,
}

/// The wire form of [`crate::link::LoadProbe`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireProbe {
    /// Hashes of blocks, cut to 32 bits.
    #[prost(fixed32, repeated, tag = "1")]
    pub checkpoints: Vec<u32>,
    /// The chat's hash.
    #[prost(fixed64, tag = "2")]
    pub chat: u64,
    /// The mean load that the router knows of.
    #[prost(message, optional, tag = "3")]
    pub group_load: Option<WireGroupLoad>,
}

/// The wire form of [`crate::link::ProbeReply`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireProbed {
    /// The load.
    #[prost(message, optional, tag = "1")]
    pub load: Option<WireLoad>,
    /// Leading checkpoints that are cached.
    #[prost(uint32, tag = "2")]
    pub warm: u32,
    /// Where the chat was sent last.
    #[prost(string, optional, tag = "3")]
    pub elsewhere: Option<String>,
    /// Prompt tokens computed in a second.
    #[prost(uint32, tag = "4")]
    pub prefill_rate: u32,
}

/// The wire form of [`crate::link::MovedChat`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireMoved {
    /// The chat's hash.
    #[prost(fixed64, tag = "1")]
    pub chat: u64,
    /// Where it was served.
    #[prost(string, tag = "2")]
    pub server: String,
}
