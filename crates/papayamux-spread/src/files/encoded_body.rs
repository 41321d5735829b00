//! The form in which a version's text travels: compressed, whole or as a delta.

use bytes::{Bytes, BytesMut};
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use papayamux_protocol::peer::{VersionKey, LONGEST_FILE};
use prost::Message;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::delta::{DeltaError, DeltaStep, WireDelta};
use super::file_version::FileVersion;

/// How hard the compressor tries, from 0 to 10.
const COMPRESSION_LEVEL: u8 = 6;
/// Bytes that a compressed body may take: the bound of a text and what headers may add.
pub(crate) const MAX_BODY_BYTES: usize = LONGEST_FILE + 4_096;

const FULL: u8 = 0;
const DELTA: u8 = 1;

/// Why a body does not lead to its version.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is not compressed text.
    #[error("the body can't be decompressed")]
    Compression,
    /// It is neither whole nor a delta.
    #[error("the body is of an unknown form")]
    Form,
    /// The delta's steps are malformed.
    #[error("the delta can't be read: {0}")]
    Steps(#[from] prost::DecodeError),
    /// The delta can't be applied.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// The text is not UTF-8.
    #[error("the text is not UTF-8")]
    Text,
    /// The text is another than announced.
    #[error("the text does not have its checksum")]
    Checksum,
}

/// A body ready to be sent in parts; clones share it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedBody {
    /// The version it leads to.
    pub key: VersionKey,
    /// The body.
    pub bytes: Bytes,
    /// Its checksum.
    pub checksum: u64,
}

impl EncodedBody {
    /// The body of a whole version.
    pub fn full(version: &FileVersion) -> Self {
        Self::new(version.key.clone(), FULL, version.text.as_bytes())
    }

    /// The body of a delta.
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

    /// The version that a body leads to, from the text of the version that is held.
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
