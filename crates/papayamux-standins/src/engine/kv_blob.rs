//! KV cache blobs: a chain of blocks with placeholder contents of the size of an export.

use bytes::Bytes;
use papayamux_protocol::engine::{MAX_KV_BLOB_BYTES, MAX_KV_BLOCKS};
use prost::Message;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::batch::CachedChain;

/// Maximum number of bytes in an encoded blob besides its contents.
const OVERHEAD: usize = 64 + 10 * MAX_KV_BLOCKS;

/// The error of reading a KV blob.
#[derive(Debug, Error)]
pub enum KvBlobError {
    /// The bytes do not decode as a blob.
    #[error("this is no KV blob: {0}")]
    Shape(#[from] prost::DecodeError),
    /// The checksum does not match.
    #[error("the KV blob is damaged")]
    Damaged,
    /// The blob has more than [`MAX_KV_BLOCKS`] blocks.
    #[error("the KV blob has {0} blocks, the bound is {MAX_KV_BLOCKS}")]
    TooMany(usize),
}

/// An exported chain, with placeholder contents and the identity of its weights.
#[derive(Clone, PartialEq, Message)]
pub struct KvBlob {
    #[prost(fixed64, tag = "1")]
    root: u64,
    #[prost(fixed64, tag = "2")]
    weights: u64,
    #[prost(fixed64, repeated, tag = "3")]
    blocks: Vec<u64>,
    #[prost(fixed64, tag = "4")]
    checksum: u64,
    #[prost(bytes = "bytes", tag = "5")]
    contents: Bytes,
}

impl KvBlob {
    /// Creates the blob of a chain that was computed with `weights`.
    pub fn new(chain: CachedChain, weights: u64, block_bytes: usize) -> Self {
        let length = block_bytes.saturating_mul(chain.blocks.len());
        let length = length.min(MAX_KV_BLOB_BYTES - OVERHEAD);
        let contents = Bytes::from(vec![0; length]);
        let mut blob =
            Self { root: chain.root, weights, blocks: chain.blocks, checksum: 0, contents };
        blob.checksum = blob.compute_checksum();
        blob
    }

    /// Decodes a blob and verifies its checksum.
    pub fn read(bytes: Bytes) -> Result<Self, KvBlobError> {
        let blob = Self::decode(bytes)?;
        match blob.blocks.len() {
            count if count > MAX_KV_BLOCKS => Err(KvBlobError::TooMany(count)),
            _ if blob.checksum != blob.compute_checksum() => Err(KvBlobError::Damaged),
            _ => Ok(blob),
        }
    }

    /// Returns the identity of the weights that the chain was computed with.
    pub fn weights(&self) -> u64 {
        self.weights
    }

    /// Returns the blob's chain.
    pub fn into_chain(self) -> CachedChain {
        CachedChain { root: self.root, blocks: self.blocks }
    }

    fn compute_checksum(&self) -> u64 {
        let seed = xxh3_64_with_seed(&self.contents, self.root ^ self.weights);
        self.blocks.iter().fold(seed, |hash, block| xxh3_64_with_seed(&block.to_le_bytes(), hash))
    }
}
