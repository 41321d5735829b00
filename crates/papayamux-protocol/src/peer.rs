//! Messages between peers, by which processes exchange versions of the platform's files.
//!
//! Their wire types are in [`crate::wire`]. The limits below bound everything that a peer sends; a
//! message that exceeds one of them is refused entirely.

use std::net::SocketAddr;

use crate::proof::{ProofNonce, ProofTag};
use bytes::Bytes;
use papayamux_state::ids::{FailureDomain, Incarnation};

/// Maximum length of a file name.
pub const MAX_FILE_NAME_BYTES: usize = 256;
/// Maximum length of a file's text, equal to the platform's limit for a value.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// The number of digest buckets that file names are distributed over.
pub const DIGEST_BUCKETS: usize = 64;
/// Maximum number of versions in a message.
pub const MAX_VERSIONS: usize = 512;
/// Maximum number of peers in a message.
pub const MAX_PEER_RECORDS: usize = 64;
/// Maximum number of body bytes in a message.
pub const MAX_PART_BYTES: usize = 16 * 1024;

/// The key of one version of a file, without its text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey {
    /// The file's name.
    pub name: String,
    /// The revision that the platform assigned to the version.
    pub revision: u64,
    /// Checksum of the text.
    pub checksum: u64,
    /// `true` if the version removes the file.
    pub removed: bool,
}

/// The first message of each side on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHello {
    /// Protocol version.
    pub version: u32,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// The process's failure domain.
    pub domain: FailureDomain,
    /// The address on which the process listens for peers.
    pub listen: SocketAddr,
    /// The nonce that the peer's proof must cover, if the process requires a proof.
    pub nonce: Option<ProofNonce>,
}

/// The last time at which a reader read a revision from the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceReading {
    /// The service's revision.
    pub revision: u64,
    /// Milliseconds since the read.
    pub age_ms: u64,
}

/// A summary of all versions that a process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSummary {
    /// Digest of all versions held.
    pub digest: u64,
    /// The highest service revision that the process knows of.
    pub known_revision: u64,
    /// The latest read of the service that the versions reflect.
    pub reading: Option<ServiceReading>,
    /// `true` if the process has queried peers since it started or was paused.
    pub settled: bool,
    /// `true` if the process requests a summary in return.
    pub asks: bool,
}

/// A process known to the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRecord {
    /// The address on which the process listens for peers.
    pub address: SocketAddr,
    /// The process's failure domain.
    pub domain: FailureDomain,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// Milliseconds since any process last received a message from it.
    pub last_contact_ms: u64,
}

/// A request for a part of a version's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchRequest {
    /// The requested version; a later version is accepted too.
    pub key: VersionKey,
    /// Revision and checksum of the version that the requester holds.
    pub base: Option<(u64, u64)>,
    /// The offset of the part in the encoded body.
    pub offset: u64,
}

/// A part of a version's encoded body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyPart {
    /// The requested version.
    pub asked: VersionKey,
    /// The version that the body produces.
    pub key: VersionKey,
    /// Checksum of the whole encoded body.
    pub body_checksum: u64,
    /// Length of the whole encoded body in bytes.
    pub total: u64,
    /// The offset of the part in the encoded body.
    pub offset: u64,
    /// The bytes of the part.
    pub data: Bytes,
}

/// A message from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// The first message of each side.
    Hello(PeerHello),
    /// The proof of knowing the fleet's secret, sent after the hellos.
    Proof(ProofTag),
    /// The summary of the sender's versions.
    Summary(PeerSummary),
    /// Digests of the sender's buckets, sent if the summaries differ.
    Buckets(Vec<u64>),
    /// All versions that the sender holds in the listed buckets.
    Inventory {
        /// The buckets.
        buckets: Vec<u32>,
        /// The versions.
        versions: Vec<VersionKey>,
    },
    /// Versions that the sender has newly obtained.
    Announce(Vec<VersionKey>),
    /// A request for a part of a body.
    Fetch(FetchRequest),
    /// A part of a body.
    Part(BodyPart),
    /// The sender does not have the requested version.
    Absent(VersionKey),
    /// The processes known to the sender.
    Peers(Vec<PeerRecord>),
}
