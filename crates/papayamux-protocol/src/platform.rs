//! The published interface of the platform: configuration service, instance list, weight store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The path of the [`FileListing`]; a file is below it.
pub const FILES_PATH: &str = "/v1/files";
/// The path that waits for newer files: `?after=REVISION&timeout_ms=T` gives a [`FileListing`].
pub const WATCH_PATH: &str = "/v1/watch";
/// The path of the [`InstanceList`].
pub const INSTANCES_PATH: &str = "/v1/instances";
/// The path below which the weight store keeps models.
pub const WEIGHTS_PATH: &str = "/v1/weights";
/// Bytes of the longest file that the configuration service holds.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Bytes of the largest weights of a model or adapter.
pub const MAX_WEIGHTS_BYTES: usize = 16 * 1024 * 1024;
/// Milliseconds of the longest watch; a longer one ends after this time.
pub const MAX_WATCH_MS: u64 = 60_000;

/// The path of one file.
pub fn file_path(name: &str) -> String {
    format!("{FILES_PATH}/{name}")
}

/// The path of a watch for what is newer than `after`.
pub fn watch_path(after: u64, timeout_ms: u64) -> String {
    format!("{WATCH_PATH}?after={after}&timeout_ms={timeout_ms}")
}

/// The path of a model's or adapter's weights.
pub fn weights_path(name: &str, version: &str) -> String {
    format!("{WEIGHTS_PATH}/{name}/{version}")
}

/// Names and revisions of files: of all, or of those newer than a watch's revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileListing {
    /// The service's revision: that of the newest change to any file.
    pub revision: u64,
    /// The files, by name.
    pub files: Vec<FileRevision>,
}

/// A file's name and the revision of its newest change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRevision {
    /// The file's name.
    pub name: String,
    /// The service's revision at which the file was put or removed.
    pub revision: u64,
    /// Whether that change removed the file.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

/// A whole file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFile {
    /// The file's name.
    pub name: String,
    /// The service's revision at which the file was put.
    pub revision: u64,
    /// What the file says.
    pub text: String,
}

/// The instances that the platform knows of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<InstanceEntry>,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Where the process of the system on this instance is reached.
    pub address: SocketAddr,
    /// What the instance is for.
    pub kind: InstanceKind,
    /// The name of the backend server; none on an entry instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether the instance stays.
    pub status: InstanceStatus,
}

/// What an instance is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An entry instance, which runs a router.
    Entry,
    /// A backend server that is a model engine.
    Engine,
    /// A backend server that is a plain service.
    Service,
}

/// Whether an instance stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceStatus {
    /// It is in use.
    Live,
    /// It will be gone soon, and is to get no new work.
    Leaving,
}
