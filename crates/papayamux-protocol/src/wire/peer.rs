//! Prost types of messages between peers. Retired field numbers are never reused.

use bytes::Bytes;

/// A frame from one peer to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// The message.
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<PeerBody>,
}

/// A message from a peer.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerBody {
    /// See [`crate::peer::PeerHello`].
    #[prost(message, tag = "1")]
    Hello(WirePeerHello),
    /// See [`crate::peer::PeerSummary`].
    #[prost(message, tag = "2")]
    Summary(WireSummary),
    /// Digests of the sender's buckets.
    #[prost(message, tag = "3")]
    Buckets(WireBuckets),
    /// Versions in the listed buckets.
    #[prost(message, tag = "4")]
    Inventory(WireInventory),
    /// New versions.
    #[prost(message, tag = "5")]
    Announce(WireVersions),
    /// See [`crate::peer::FetchRequest`].
    #[prost(message, tag = "6")]
    Fetch(WireFetch),
    /// See [`crate::peer::BodyPart`].
    #[prost(message, tag = "7")]
    Part(WirePart),
    /// The sender does not have the requested version.
    #[prost(message, tag = "8")]
    Absent(WireVersion),
    /// The processes known to the sender.
    #[prost(message, tag = "9")]
    Peers(WirePeers),
    /// The proof of knowing the fleet's secret.
    #[prost(bytes = "bytes", tag = "10")]
    Proof(Bytes),
}

/// The wire form of [`crate::peer::PeerHello`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WirePeerHello {
    /// Protocol version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The process's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The process's failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// The address on which the process listens for peers.
    #[prost(string, tag = "4")]
    pub listen: String,
    /// The nonce that the peer's proof must cover.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub nonce: Option<Bytes>,
}

/// The wire form of [`crate::peer::PeerSummary`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireSummary {
    /// Digest of all versions held.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// The highest service revision known.
    #[prost(uint64, tag = "2")]
    pub known_revision: u64,
    /// Revision of the latest read of the service.
    #[prost(uint64, optional, tag = "3")]
    pub reading_revision: Option<u64>,
    /// Milliseconds since the latest read of the service.
    #[prost(uint64, tag = "4")]
    pub reading_age_ms: u64,
    /// `true` if the sender requests a summary in return.
    #[prost(bool, tag = "5")]
    pub asks: bool,
    /// `true` if the sender has queried peers since it started or was paused.
    #[prost(bool, tag = "6")]
    pub settled: bool,
}

/// Digests of the sender's buckets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireBuckets {
    /// The digests, one per bucket.
    #[prost(fixed64, repeated, tag = "1")]
    pub digests: Vec<u64>,
}

/// The wire form of [`crate::peer::VersionKey`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireVersion {
    /// The file's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Checksum of the text.
    #[prost(fixed64, tag = "3")]
    pub checksum: u64,
    /// `true` if the version removes the file.
    #[prost(bool, tag = "4")]
    pub removed: bool,
}

/// Several versions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireVersions {
    /// The versions.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<WireVersion>,
}

/// Versions in the listed buckets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireInventory {
    /// The buckets.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    /// The versions.
    #[prost(message, repeated, tag = "2")]
    pub versions: Vec<WireVersion>,
}

/// The wire form of [`crate::peer::FetchRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireFetch {
    /// The requested version.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireVersion>,
    /// Revision of the version that the requester holds.
    #[prost(uint64, optional, tag = "2")]
    pub base_revision: Option<u64>,
    /// Checksum of the version that the requester holds.
    #[prost(fixed64, tag = "3")]
    pub base_checksum: u64,
    /// The offset of the part in the encoded body.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
}

/// The wire form of [`crate::peer::BodyPart`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WirePart {
    /// The requested version.
    #[prost(message, optional, tag = "1")]
    pub asked: Option<WireVersion>,
    /// The version that the body produces.
    #[prost(message, optional, tag = "2")]
    pub key: Option<WireVersion>,
    /// Checksum of the encoded body.
    #[prost(fixed64, tag = "3")]
    pub body_checksum: u64,
    /// Length of the encoded body in bytes.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// The offset of the part in the encoded body.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// The bytes of the part.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
}

/// The wire form of [`crate::peer::PeerRecord`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WirePeerRecord {
    /// The address on which the process listens for peers.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The process's failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// The process's incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Milliseconds since any process last received a message from it.
    #[prost(uint64, tag = "4")]
    pub heard_ms: u64,
}

/// Several processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WirePeers {
    /// The processes.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<WirePeerRecord>,
}
