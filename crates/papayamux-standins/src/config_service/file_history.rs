//! History of all files with all their revisions, so that an older state can be served.

use std::collections::BTreeMap;
use std::rc::Rc;

use papayamux_protocol::platform::{ConfigFile, FileListing, FileRevision, MAX_FILE_BYTES};
use thiserror::Error;

/// Maximum number of revisions in the history.
const MAX_REVISIONS: u64 = 100_000;
/// Maximum total size of all texts in the history, in bytes.
const MAX_HISTORY_BYTES: usize = 512 * 1024 * 1024;
/// Maximum length of a file name in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The error of putting a file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HistoryError {
    /// The file name is invalid.
    #[error(
        "a file name has 1 to {MAX_NAME_BYTES} letters, digits, dots, hyphens and underscores"
    )]
    Name,
    /// The text exceeds [`MAX_FILE_BYTES`].
    #[error("the file has {0} bytes, the bound is {MAX_FILE_BYTES}")]
    TooLong(usize),
    /// The history has reached its limit.
    #[error("the stand-in remembers no more revisions")]
    Full,
}

/// A version of a file; `text` is `None` if the file was removed.
#[derive(Debug)]
struct FileVersion {
    revision: u64,
    text: Option<Rc<str>>,
}

/// All files with all of their revisions.
#[derive(Debug, Default)]
pub struct FileHistory {
    revision: u64,
    bytes: usize,
    files: BTreeMap<String, Vec<FileVersion>>,
}

impl FileHistory {
    /// Returns the revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the text of a file, or removes it if `text` is `None`. Returns the new revision.
    pub fn put(&mut self, name: &str, text: Option<&str>) -> Result<u64, HistoryError> {
        let length = text.map_or(0, str::len);
        if !is_name(name) {
            return Err(HistoryError::Name);
        }
        if length > MAX_FILE_BYTES {
            return Err(HistoryError::TooLong(length));
        }
        if self.revision >= MAX_REVISIONS || self.bytes + length > MAX_HISTORY_BYTES {
            return Err(HistoryError::Full);
        }
        self.revision += 1;
        self.bytes += length;
        let version = FileVersion { revision: self.revision, text: text.map(Rc::from) };
        self.files.entry(name.to_string()).or_default().push(version);
        Ok(self.revision)
    }

    /// Lists the files changed after revision `after`, as they were at revision `at`.
    pub fn listing(&self, at: u64, after: u64) -> FileListing {
        let revisions = self.files.iter().filter_map(|(name, versions)| {
            let version = version_at(versions, at)?;
            let (revision, removed) = (version.revision, version.text.is_none());
            Some(FileRevision { name: name.clone(), revision, removed })
        });
        let files = revisions.filter(|file| file.revision > after).collect();
        FileListing { revision: at.min(self.revision), files }
    }

    /// Returns a file as it was at revision `at`.
    pub fn file(&self, at: u64, name: &str) -> Option<ConfigFile> {
        let version = version_at(self.files.get(name)?, at)?;
        let text = version.text.as_deref()?.to_string();
        Some(ConfigFile { name: name.to_string(), revision: version.revision, text })
    }
}

fn version_at(versions: &[FileVersion], at: u64) -> Option<&FileVersion> {
    versions.iter().rfind(|version| version.revision <= at)
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}
