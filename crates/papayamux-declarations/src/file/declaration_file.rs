//! One revision of one file, as the service or a peer hands it over.

use papayamux_settings::Findings;
use xxhash_rust::xxh3::xxh3_128;

use super::parsed_file::ParsedFile;
use crate::values::{FileName, FileRevision};

/// Bytes of the largest file: what the configuration service can hold as one value.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// What a revision says.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileContent {
    /// The file's whole text.
    Text(String),
    /// The file was deleted: a tombstone, which is in force like any other valid revision.
    Deleted,
}

/// One revision of one file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclarationFile {
    /// The file's name, which is its team's too.
    pub name: FileName,
    /// The revision.
    pub revision: FileRevision,
    /// What the revision says.
    pub content: FileContent,
}

impl DeclarationFile {
    /// A revision with a text.
    pub fn new(name: FileName, revision: FileRevision, text: impl Into<String>) -> Self {
        Self { name, revision, content: FileContent::Text(text.into()) }
    }

    /// A revision as read from the service. Bytes that are no UTF-8 become replacement
    /// characters, for which parsing refuses the revision.
    pub fn from_bytes(name: FileName, revision: FileRevision, bytes: &[u8]) -> Self {
        Self::new(name, revision, String::from_utf8_lossy(bytes))
    }

    /// The revision that deletes the file.
    pub fn deleted(name: FileName, revision: FileRevision) -> Self {
        Self { name, revision, content: FileContent::Deleted }
    }

    /// Parses the text, or reports all that is wrong with the file by itself; `None` for a
    /// deleted file.
    pub fn parse(&self) -> Result<Option<ParsedFile>, Findings> {
        match &self.content {
            FileContent::Text(text) => ParsedFile::parse(&self.name, text).map(Some),
            FileContent::Deleted => Ok(None),
        }
    }

    /// Bytes of the text.
    pub fn length(&self) -> usize {
        match &self.content {
            FileContent::Text(text) => text.len(),
            FileContent::Deleted => 0,
        }
    }

    /// A hash of the content.
    pub fn content_hash(&self) -> u128 {
        match &self.content {
            FileContent::Text(text) => xxh3_128(text.as_bytes()),
            FileContent::Deleted => 0,
        }
    }
}
