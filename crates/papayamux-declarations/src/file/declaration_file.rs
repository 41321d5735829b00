//! A revision of a file as received from the configuration service or a peer.

use papayamux_settings::Findings;
use xxhash_rust::xxh3::xxh3_128;

use super::parsed_file::ParsedFile;
use crate::values::{FileName, FileRevision};

/// Maximum size of a file in bytes: the largest value that the configuration service can store.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// The content of a revision.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileContent {
    /// The full text of the file.
    Text(String),
    /// A tombstone of a deleted file, which is in force like any other valid revision.
    Deleted,
}

/// A revision of a declaration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclarationFile {
    /// The name of the file, which is also the name of its team.
    pub name: FileName,
    /// The revision number.
    pub revision: FileRevision,
    /// The text or the tombstone.
    pub content: FileContent,
}

impl DeclarationFile {
    /// Creates a revision with a text.
    pub fn new(name: FileName, revision: FileRevision, text: impl Into<String>) -> Self {
        Self { name, revision, content: FileContent::Text(text.into()) }
    }

    /// Creates a revision from bytes read from the configuration service. Invalid UTF-8 becomes
    /// replacement characters, which parsing reports as findings.
    pub fn from_bytes(name: FileName, revision: FileRevision, bytes: &[u8]) -> Self {
        Self::new(name, revision, String::from_utf8_lossy(bytes))
    }

    /// Creates the revision that deletes the file.
    pub fn deleted(name: FileName, revision: FileRevision) -> Self {
        Self { name, revision, content: FileContent::Deleted }
    }

    /// Parses the text, or returns all findings in this file taken alone. Returns `None` for a
    /// deleted file.
    pub fn parse(&self) -> Result<Option<ParsedFile>, Findings> {
        match &self.content {
            FileContent::Text(text) => ParsedFile::parse(&self.name, text).map(Some),
            FileContent::Deleted => Ok(None),
        }
    }

    /// Returns the length of the text in bytes, 0 for a deleted file.
    pub fn length(&self) -> usize {
        match &self.content {
            FileContent::Text(text) => text.len(),
            FileContent::Deleted => 0,
        }
    }

    /// Returns a hash of the text, 0 for a deleted file.
    pub fn content_hash(&self) -> u128 {
        match &self.content {
            FileContent::Text(text) => xxh3_128(text.as_bytes()),
            FileContent::Deleted => 0,
        }
    }
}
