//! Conversion of messages between peers from and to their wire types.

use std::net::SocketAddr;

use prost::Message;

use super::peer::*;
use super::{identifier, nonce_bytes, parse_nonce, required, FrameMessage, WireError};
use crate::link::Addressed;
use crate::peer::{
    BodyPart, FetchRequest, PeerHello, PeerMessage, PeerRecord, PeerSummary, ServiceReading,
    VersionKey, DIGEST_BUCKETS, MAX_FILE_NAME_BYTES, MAX_PART_BYTES, MAX_PEER_RECORDS,
    MAX_VERSIONS,
};
use crate::proof::ProofTag;

/// Size of the length prefix before each frame.
const LENGTH_PREFIX_BYTES: usize = size_of::<u32>();

impl PeerMessage {
    /// Returns the length of the message on the wire, excluding TCP and IP headers.
    pub fn wire_bytes(&self) -> u64 {
        let frame = PeerFrame::from(Addressed { stream: 0, message: self.clone() });
        (frame.encoded_len() + LENGTH_PREFIX_BYTES) as u64
    }
}

impl From<Addressed<PeerMessage>> for PeerFrame {
    fn from(addressed: Addressed<PeerMessage>) -> Self {
        let body = match addressed.message {
            PeerMessage::Hello(hello) => PeerBody::Hello(hello.into()),
            PeerMessage::Proof(tag) => PeerBody::Proof(tag.0),
            PeerMessage::Summary(summary) => PeerBody::Summary(summary.into()),
            PeerMessage::Buckets(digests) => PeerBody::Buckets(WireBuckets { digests }),
            PeerMessage::Inventory { buckets, versions } => {
                PeerBody::Inventory(WireInventory { buckets, versions: all_into(versions) })
            }
            PeerMessage::Announce(versions) => {
                PeerBody::Announce(WireVersions { versions: all_into(versions) })
            }
            PeerMessage::Fetch(request) => PeerBody::Fetch(request.into()),
            PeerMessage::Part(part) => PeerBody::Part(part.into()),
            PeerMessage::Absent(key) => PeerBody::Absent(key.into()),
            PeerMessage::Peers(records) => {
                PeerBody::Peers(WirePeers { records: all_into(records) })
            }
        };
        Self { body: Some(body) }
    }
}

impl FrameMessage for PeerFrame {
    type Message = PeerMessage;

    fn into_message(self) -> Result<Addressed<PeerMessage>, WireError> {
        let message = match required("body", self.body)? {
            PeerBody::Hello(hello) => PeerMessage::Hello(hello.try_into()?),
            PeerBody::Proof(tag) => PeerMessage::Proof(ProofTag(tag)),
            PeerBody::Summary(summary) => PeerMessage::Summary(summary.into()),
            PeerBody::Buckets(buckets) => {
                check_max("buckets", buckets.digests.len(), DIGEST_BUCKETS)?;
                PeerMessage::Buckets(buckets.digests)
            }
            PeerBody::Inventory(inventory) => {
                check_max("buckets", inventory.buckets.len(), DIGEST_BUCKETS)?;
                let versions = versions(inventory.versions)?;
                PeerMessage::Inventory { buckets: inventory.buckets, versions }
            }
            PeerBody::Announce(announced) => PeerMessage::Announce(versions(announced.versions)?),
            PeerBody::Fetch(request) => PeerMessage::Fetch(request.try_into()?),
            PeerBody::Part(part) => PeerMessage::Part(part.try_into()?),
            PeerBody::Absent(key) => PeerMessage::Absent(key.try_into()?),
            PeerBody::Peers(peers) => {
                check_max("records", peers.records.len(), MAX_PEER_RECORDS)?;
                let records = peers.records.into_iter().map(PeerRecord::try_from);
                PeerMessage::Peers(records.collect::<Result<_, _>>()?)
            }
        };
        Ok(Addressed { stream: 0, message })
    }
}

fn all_into<W, T: Into<W>>(values: Vec<T>) -> Vec<W> {
    values.into_iter().map(T::into).collect()
}

fn check_max(part: &'static str, count: usize, limit: usize) -> Result<(), WireError> {
    match count <= limit {
        true => Ok(()),
        false => Err(WireError::TooMany { part, count, limit }),
    }
}

fn versions(wire: Vec<WireVersion>) -> Result<Vec<VersionKey>, WireError> {
    check_max("versions", wire.len(), MAX_VERSIONS)?;
    wire.into_iter().map(VersionKey::try_from).collect()
}

fn address(part: &'static str, text: &str) -> Result<SocketAddr, WireError> {
    text.parse().map_err(|source| WireError::Address { part, source })
}

impl From<PeerHello> for WirePeerHello {
    fn from(hello: PeerHello) -> Self {
        Self {
            version: hello.version,
            incarnation: hello.incarnation.get(),
            domain: hello.domain.to_string(),
            listen: hello.listen.to_string(),
            nonce: hello.nonce.map(nonce_bytes),
        }
    }
}

impl TryFrom<WirePeerHello> for PeerHello {
    type Error = WireError;

    fn try_from(hello: WirePeerHello) -> Result<Self, WireError> {
        Ok(Self {
            version: hello.version,
            incarnation: hello.incarnation.into(),
            domain: identifier("domain", &hello.domain)?,
            listen: address("listen", &hello.listen)?,
            nonce: hello.nonce.map(parse_nonce).transpose()?,
        })
    }
}

impl From<PeerSummary> for WireSummary {
    fn from(summary: PeerSummary) -> Self {
        Self {
            digest: summary.digest,
            known_revision: summary.known_revision,
            reading_revision: summary.reading.map(|reading| reading.revision),
            reading_age_ms: summary.reading.map_or(0, |reading| reading.age_ms),
            settled: summary.settled,
            asks: summary.asks,
        }
    }
}

impl From<WireSummary> for PeerSummary {
    fn from(summary: WireSummary) -> Self {
        let age_ms = summary.reading_age_ms;
        Self {
            digest: summary.digest,
            known_revision: summary.known_revision,
            reading: summary.reading_revision.map(|revision| ServiceReading { revision, age_ms }),
            settled: summary.settled,
            asks: summary.asks,
        }
    }
}

impl From<VersionKey> for WireVersion {
    fn from(key: VersionKey) -> Self {
        let VersionKey { name, revision, checksum, removed } = key;
        Self { name, revision, checksum, removed }
    }
}

impl TryFrom<WireVersion> for VersionKey {
    type Error = WireError;

    fn try_from(version: WireVersion) -> Result<Self, WireError> {
        check_max("file name", version.name.len(), MAX_FILE_NAME_BYTES)?;
        let WireVersion { name, revision, checksum, removed } = version;
        Ok(Self { name, revision, checksum, removed })
    }
}

impl From<FetchRequest> for WireFetch {
    fn from(request: FetchRequest) -> Self {
        Self {
            key: Some(request.key.into()),
            base_revision: request.base.map(|(revision, _)| revision),
            base_checksum: request.base.map_or(0, |(_, checksum)| checksum),
            offset: request.offset,
        }
    }
}

impl TryFrom<WireFetch> for FetchRequest {
    type Error = WireError;

    fn try_from(request: WireFetch) -> Result<Self, WireError> {
        Ok(Self {
            key: required("key", request.key)?.try_into()?,
            base: request.base_revision.map(|revision| (revision, request.base_checksum)),
            offset: request.offset,
        })
    }
}

impl From<BodyPart> for WirePart {
    fn from(part: BodyPart) -> Self {
        Self {
            asked: Some(part.asked.into()),
            key: Some(part.key.into()),
            body_checksum: part.body_checksum,
            total: part.total,
            offset: part.offset,
            data: part.data,
        }
    }
}

impl TryFrom<WirePart> for BodyPart {
    type Error = WireError;

    fn try_from(part: WirePart) -> Result<Self, WireError> {
        check_max("data", part.data.len(), MAX_PART_BYTES)?;
        Ok(Self {
            asked: required("asked", part.asked)?.try_into()?,
            key: required("key", part.key)?.try_into()?,
            body_checksum: part.body_checksum,
            total: part.total,
            offset: part.offset,
            data: part.data,
        })
    }
}

impl From<PeerRecord> for WirePeerRecord {
    fn from(record: PeerRecord) -> Self {
        Self {
            address: record.address.to_string(),
            domain: record.domain.to_string(),
            incarnation: record.incarnation.get(),
            heard_ms: record.last_contact_ms,
        }
    }
}

impl TryFrom<WirePeerRecord> for PeerRecord {
    type Error = WireError;

    fn try_from(record: WirePeerRecord) -> Result<Self, WireError> {
        Ok(Self {
            address: address("address", &record.address)?,
            domain: identifier("domain", &record.domain)?,
            incarnation: record.incarnation.into(),
            last_contact_ms: record.heard_ms,
        })
    }
}
