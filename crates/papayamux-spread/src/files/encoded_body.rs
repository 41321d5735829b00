//! Encoded form of a version's text: compressed, in full or as a delta.

use bytes::{Bytes, BytesMut};
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use papayamux_protocol::peer::{VersionKey, MAX_FILE_BYTES};
use prost::Message;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::delta::{DeltaError, DeltaStep, WireDelta};
use super::file_version::FileVersion;

/// Compression level, from 0 to 10.
const COMPRESSION_LEVEL: u8 = 6;
/// Maximum size of a compressed body in bytes: that of a text and what headers may add.
pub(crate) const MAX_BODY_BYTES: usize = MAX_FILE_BYTES + 4_096;

const FULL: u8 = 0;
const DELTA: u8 = 1;

/// The error of decoding a body to its version.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is not compressed text.
    #[error("the body can't be decompressed")]
    Compression,
    /// The body is neither a full text nor a delta.
    #[error("the body has an unknown form")]
    Form,
    /// The delta's steps are malformed.
    #[error("the delta can't be decoded: {0}")]
    Steps(#[from] prost::DecodeError),
    /// The delta can't be applied.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// The text is not UTF-8.
    #[error("the text is not UTF-8")]
    Text,
    /// The decoded version is not the announced one.
    #[error("the decoded text doesn't match the announced checksum")]
    Checksum,
}

/// An encoded body that is sent in parts. Clones share the bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedBody {
    /// The version to which it decodes.
    pub key: VersionKey,
    /// The encoded bytes.
    pub bytes: Bytes,
    /// Checksum of the encoded bytes.
    pub checksum: u64,
}

impl EncodedBody {
    /// Encodes the full text of a version.
    pub fn full(version: &FileVersion) -> Self {
        Self::new(version.key.clone(), FULL, version.text.as_bytes())
    }

    /// Encodes a delta.
    pub fn delta(step: &DeltaStep) -> Self {
        Self::new(step.target.clone(), DELTA, &step.steps)
    }

    fn new(key: VersionKey, form: u8, content: &[u8]) -> Self {
        let mut bytes = BytesMut::with_capacity(content.len() / 4 + 1);
        bytes.extend_from_slice(&[form]);
        bytes.extend_from_slice(&compress_to_vec(content, COMPRESSION_LEVEL));
        let checksum = xxh3_64(&bytes);
        Self { key, bytes: bytes.freeze(), checksum }
    }

    /// Decodes a body to the version `key`. `base` is the text of the version to which a delta
    /// applies.
    pub fn decode(key: &VersionKey, body: &[u8], base: &str) -> Result<FileVersion, BodyError> {
        if key.removed {
            return Ok(FileVersion::removed(&key.name, key.revision));
        }
        let (form, compressed) = body.split_first().ok_or(BodyError::Form)?;
        let content = decompress_to_vec_with_limit(compressed, MAX_BODY_BYTES)
            .map_err(|_| BodyError::Compression)?;
        let text = match *form {
            FULL => String::from_utf8(content).map_err(|_| BodyError::Text)?,
            DELTA => WireDelta::decode(content.as_slice())?.apply(base)?,
            _ => return Err(BodyError::Form),
        };
        let version = FileVersion::new(&key.name, key.revision, text);
        match version.key == *key {
            true => Ok(version),
            false => Err(BodyError::Checksum),
        }
    }
}
