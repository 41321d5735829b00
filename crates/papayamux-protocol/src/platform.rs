//! The public interface of the platform: configuration service, instance list and weight store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The path of the [`FileListing`], and the path prefix of the files.
pub const FILES_PATH: &str = "/v1/files";
/// The path that waits for newer files: `?after=REVISION&timeout_ms=T` returns a [`FileListing`].
pub const WATCH_PATH: &str = "/v1/watch";
/// The path of the [`InstanceList`].
pub const INSTANCES_PATH: &str = "/v1/instances";
/// The path prefix of models in the weight store.
pub const WEIGHTS_PATH: &str = "/v1/weights";
/// Maximum length of a file in the configuration service.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Maximum size of the weights of a model or adapter.
pub const MAX_WEIGHTS_BYTES: usize = 16 * 1024 * 1024;
/// Maximum duration of a watch; a watch with a longer timeout ends after this time.
pub const MAX_WATCH_MS: u64 = 60_000;

/// Returns the path of a file.
pub fn file_path(name: &str) -> String {
    format!("{FILES_PATH}/{name}")
}

/// Returns the path of a watch for revisions newer than `after`.
pub fn watch_path(after: u64, timeout_ms: u64) -> String {
    format!("{WATCH_PATH}?after={after}&timeout_ms={timeout_ms}")
}

/// Returns the path of the weights of a model or adapter.
pub fn weights_path(name: &str, version: &str) -> String {
    format!("{WEIGHTS_PATH}/{name}/{version}")
}

/// Names and revisions of all files, or of those newer than the revision of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileListing {
    /// The service's revision, which is that of the latest change to any file.
    pub revision: u64,
    /// The files, ordered by name.
    pub files: Vec<FileRevision>,
}

/// A file's name and the revision of its latest change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRevision {
    /// The file's name.
    pub name: String,
    /// The service's revision at which the file was put or removed.
    pub revision: u64,
    /// `true` if the change removed the file.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

/// A file with its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFile {
    /// The file's name.
    pub name: String,
    /// The service's revision at which the file was put.
    pub revision: u64,
    /// The file's content.
    pub text: String,
}

/// The instances known to the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<InstanceEntry>,
}

/// An instance known to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The address of the papayamux process on this instance.
    pub address: SocketAddr,
    /// The purpose of the instance.
    pub kind: InstanceKind,
    /// The name of the backend server; `None` for an entry instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// The failure domain.
    pub failure_domain: String,
    /// The lifecycle status of the instance.
    pub status: InstanceStatus,
}

/// The purpose of an instance.
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

/// The lifecycle status of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceStatus {
    /// The instance is in use.
    Live,
    /// The instance will be removed soon and must not receive new work.
    Leaving,
}
