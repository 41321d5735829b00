//! What processes say to each other as peers: which versions of the platform's files they hold.
//!
//! The wire's own types are in [`crate::wire`]. All that a peer sends is bounded by the limits
//! here; a message beyond them is refused as a whole.

use std::net::SocketAddr;

use crate::proof::{ProofNonce, ProofTag};
use bytes::Bytes;
use papayamux_state::ids::{FailureDomain, Incarnation};

/// The longest name of a file, in bytes.
pub const MAX_FILE_NAME_BYTES: usize = 256;
/// The longest text of a file, in bytes: the platform's bound of a value.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Digest buckets that file names are spread over.
pub const DIGEST_BUCKETS: usize = 64;
/// Versions that one message may name.
pub const MAX_VERSIONS: usize = 512;
/// Peers that one message may name.
pub const MAX_PEER_RECORDS: usize = 64;
/// Bytes of a body that one message may carry.
pub const MAX_PART_BYTES: usize = 16 * 1024;

/// One version of one file, without its text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey {
    /// The file's name.
    pub name: String,
    /// The revision that the platform gave the version.
    pub revision: u64,
    /// Checksum of the text.
    pub checksum: u64,
    /// Whether the version says that the file was removed.
    pub removed: bool,
}

/// What a process says first on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHello {
    /// Protocol version.
    pub version: u32,
    /// The process's life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it listens for peers.
    pub listen: SocketAddr,
    /// A nonce, where the peer has to prove the fleet's secret.
    pub nonce: Option<ProofNonce>,
}

/// When a reader last found the service at a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceReading {
    /// The service's revision.
    pub revision: u64,
    /// How long ago it was read, in milliseconds.
    pub age_ms: u64,
}

/// A short account of all that a process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSummary {
    /// Digest of all versions held.
    pub digest: u64,
    /// The highest service revision that the process knows of.
    pub known_revision: u64,
    /// The latest reading that its versions reflect.
    pub reading: Option<ServiceReading>,
    /// Whether it has itself asked peers since it started or was paused.
    pub settled: bool,
    /// Whether it asks for a summary in return.
    pub asks: bool,
}

/// A process that the sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRecord {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its life.
    pub incarnation: Incarnation,
    /// How long ago it was last heard by anyone, in milliseconds.
    pub last_contact_ms: u64,
}

/// A request for a part of a version's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchRequest {
    /// The version wanted; a later one will do.
    pub key: VersionKey,
    /// Revision and checksum of the version that the requester holds.
    pub base: Option<(u64, u64)>,
    /// Where the part starts within the encoded body.
    pub offset: u64,
}

/// A part of a version's encoded body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyPart {
    /// The version that was asked for.
    pub asked: VersionKey,
    /// The version that the body leads to.
    pub key: VersionKey,
    /// Checksum of the whole encoded body.
    pub body_checksum: u64,
    /// Bytes of the whole encoded body.
    pub total: u64,
    /// Where the part starts within it.
    pub offset: u64,
    /// The part.
    pub data: Bytes,
}

/// What a peer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// The first message of each side.
    Hello(PeerHello),
    /// The proof of the fleet's secret, after the hellos.
    Proof(ProofTag),
    /// What the sender holds, in short.
    Summary(PeerSummary),
    /// Digests of the sender's buckets, after summaries that differ.
    Buckets(Vec<u64>),
    /// All versions that the sender holds in the buckets named.
    Inventory {
        /// The buckets.
        buckets: Vec<u32>,
        /// The versions.
        versions: Vec<VersionKey>,
    },
    /// Versions that the sender has newly got.
    Announce(Vec<VersionKey>),
    /// A request for a part of a body.
    Fetch(FetchRequest),
    /// A part of a body.
    Part(BodyPart),
    /// The sender can't give the version asked for.
    Absent(VersionKey),
    /// Processes that the sender knows.
    Peers(Vec<PeerRecord>),
}
