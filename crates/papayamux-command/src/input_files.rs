//! Reads the declaration files and logs named on the command line.

use std::collections::BTreeMap;
use std::path::Path;

use papayamux_declarations::{DeclarationFile, FileName, FileRevision, FileSet};
use thiserror::Error;

/// The optional extension of a file on disk; its name in the configuration service has none.
const FILE_EXTENSION: &str = ".ini";

/// The error of reading an input file.
#[derive(Debug, Error)]
pub enum InputFileError {
    /// The command line names no file.
    #[error("name the files; try --help")]
    NoFiles,
    /// A file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The path on the command line.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The name of a file is no valid name of a declaration file.
    #[error("{path}: {source}")]
    Name {
        /// The path on the command line.
        path: String,
        /// The error of parsing the name.
        source: papayamux_declarations::ValueError,
    },
    /// A revision of a file is given twice.
    #[error("{path}: {name}@{revision} is given already; write FILE@REVISION")]
    Repeated {
        /// The path on the command line.
        path: String,
        /// The name of the declaration file.
        name: FileName,
        /// The repeated revision.
        revision: FileRevision,
    },
}

/// Reads the named logs; returns pairs of path and text.
pub fn read_logs(paths: &[String]) -> Result<Vec<(String, String)>, InputFileError> {
    if paths.is_empty() {
        return Err(InputFileError::NoFiles);
    }
    let read = |path: &String| match std::fs::read(path) {
        Ok(bytes) => Ok((path.clone(), String::from_utf8_lossy(&bytes).into_owned())),
        Err(source) => Err(InputFileError::Read { path: path.clone(), source }),
    };
    paths.iter().map(read).collect()
}

/// Reads the named declaration files. `FILE@REVISION` sets the revision; without it, the revision is
/// one more than the highest of the preceding files of the same name, starting at 1.
pub fn read_files(paths: &[String]) -> Result<Vec<DeclarationFile>, InputFileError> {
    let mut files: Vec<DeclarationFile> = Vec::new();
    let mut newest: BTreeMap<FileName, u64> = BTreeMap::new();
    for path in paths {
        let (file_path, revision) = split_revision(path);
        let name = file_name(file_path)?;
        let last = newest.get(&name).copied().unwrap_or(0);
        let revision = revision.unwrap_or_else(|| last.saturating_add(1).into());
        if files.iter().any(|file| file.name == name && file.revision == revision) {
            return Err(InputFileError::Repeated { path: path.clone(), name, revision });
        }
        newest.insert(name.clone(), last.max(revision.get()));
        let bytes = std::fs::read(file_path)
            .map_err(|source| InputFileError::Read { path: path.clone(), source })?;
        files.push(DeclarationFile::from_bytes(name, revision, &bytes));
    }
    match files.is_empty() {
        true => Err(InputFileError::NoFiles),
        false => Ok(files),
    }
}

/// Returns the set of a process that has received `files`.
pub fn file_set(files: &[DeclarationFile]) -> FileSet {
    let mut set = FileSet::default();
    for file in files {
        set.offer(file.clone());
    }
    set
}

fn split_revision(path: &str) -> (&str, Option<FileRevision>) {
    let parts = path.rsplit_once('@');
    match parts.and_then(|(path, revision)| Some((path, revision.parse().ok()?))) {
        Some((path, revision)) => (path, Some(revision)),
        None => (path, None),
    }
}

fn file_name(path: &str) -> Result<FileName, InputFileError> {
    let last = Path::new(path).file_name().and_then(|name| name.to_str()).unwrap_or(path);
    let name = last.strip_suffix(FILE_EXTENSION).unwrap_or(last);
    name.parse().map_err(|source| InputFileError::Name { path: path.to_string(), source })
}
