//! One version of one file.

use std::rc::Rc;

use papayamux_protocol::peer::VersionKey;
use xxhash_rust::xxh3::xxh3_64;

/// A version with its text. Clones share the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileVersion {
    /// Key that identifies the version.
    pub key: VersionKey,
    /// Text of the version; empty for a removed file.
    pub text: Rc<String>,
}

impl FileVersion {
    /// Creates the version of a file that has `text` at `revision`.
    pub fn new(name: &str, revision: u64, text: String) -> Self {
        let checksum = xxh3_64(text.as_bytes());
        let key = VersionKey { name: name.to_string(), revision, checksum, removed: false };
        Self { key, text: Rc::new(text) }
    }

    /// Creates the version that marks the file as removed at `revision`.
    pub fn removed(name: &str, revision: u64) -> Self {
        let key = VersionKey { name: name.to_string(), revision, checksum: 0, removed: true };
        Self { key, text: Rc::default() }
    }
}
