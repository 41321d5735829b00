//! Store of the file versions of a process.
//!
//! For each file the store keeps the newest version and, if that one is refused, the newest version
//! that isn't. Both are maxima, so the same versions lead to the same store whatever their order,
//! repetitions and age, and no version is ever replaced by an older one.

use std::collections::BTreeMap;

use papayamux_protocol::peer::{VersionKey, DIGEST_BUCKETS, MAX_FILE_BYTES, MAX_FILE_NAME_BYTES};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use super::delta::DeltaStep;
use super::file_version::FileVersion;
use crate::instances::is_instances;

/// Maximum number of files in a store, including removed ones.
const MAX_FILES: usize = 4_096;
/// Maximum bytes of text in a store.
const MAX_STORE_BYTES: usize = 16 * 1024 * 1024;
/// Number of deltas kept for each file.
const MAX_DELTAS: usize = 4;

/// Returns whether a text may come into force by itself. The result must depend on the arguments
/// alone.
pub type FileCheck = fn(name: &str, text: &str) -> bool;

/// Outcome of offering a version to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinOutcome {
    /// The version was stored.
    Stored,
    /// The version was already stored.
    AlreadyStored,
    /// A newer version is stored, and this one isn't needed.
    Older,
    /// The version exceeds the store's limits.
    TooLarge,
}

/// Newest version of one file, and the version to use if the newest is refused.
#[derive(Debug, Clone, Copy)]
pub struct LatestVersion<'a> {
    /// The newest version.
    pub newest: &'a FileVersion,
    /// The newest version that passes its check.
    pub accepted: Option<&'a FileVersion>,
}

#[derive(Debug, Default)]
struct StoredFile {
    newest: Option<FileVersion>,
    /// `true` if `newest` passes its check.
    newest_passes: bool,
    /// Newest version that passes its check; kept only while `newest` is refused.
    accepted: Option<FileVersion>,
    deltas: Vec<DeltaStep>,
}

/// All stored versions.
#[derive(Debug)]
pub struct FileStore {
    check: FileCheck,
    files: BTreeMap<String, StoredFile>,
    buckets: [u64; DIGEST_BUCKETS],
    bytes: usize,
    revision: u64,
}

/// Returns the digest bucket of a file name.
pub(crate) fn bucket_of(name: &str) -> usize {
    xxh3_64(name.as_bytes()) as usize % DIGEST_BUCKETS
}

fn digest_of(key: &VersionKey) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.name.as_bytes());
    hasher.update(&key.revision.to_le_bytes());
    hasher.update(&key.checksum.to_le_bytes());
    hasher.update(&[u8::from(key.removed)]);
    hasher.digest()
}

/// Order of versions. Different versions of the same revision have the same order in all processes.
fn rank(key: &VersionKey) -> (u64, bool, u64) {
    (key.revision, key.removed, key.checksum)
}

fn outranks(key: &VersionKey, held: Option<&FileVersion>) -> bool {
    held.is_none_or(|held| rank(key) > rank(&held.key))
}

impl FileStore {
    /// Creates an empty store whose versions are checked by `check`.
    pub fn new(check: FileCheck) -> Self {
        let buckets = [0; DIGEST_BUCKETS];
        Self { check, files: BTreeMap::new(), buckets, bytes: 0, revision: 0 }
    }

    /// Stores a version if it is newer than what is stored.
    pub fn join(&mut self, version: FileVersion) -> JoinOutcome {
        if let Some(outcome) = self.refuse_early(&version) {
            return outcome;
        }
        let passes = version.key.removed || (self.check)(&version.key.name, &version.text);
        let is_needed =
            self.files.get(&version.key.name).is_none_or(|file| file.needs(&version, passes));
        if !is_needed {
            return JoinOutcome::Older;
        }
        let name = version.key.name.clone();
        if !is_instances(&name) {
            self.revision = self.revision.max(version.key.revision);
        }
        let mut file = self.files.remove(&name).unwrap_or_default();
        self.subtract_totals(&file);
        file.take(version, passes);
        self.add_totals(&file);
        self.files.insert(name, file);
        JoinOutcome::Stored
    }

    /// Returns the outcome for a version that doesn't need to be checked.
    fn refuse_early(&self, version: &FileVersion) -> Option<JoinOutcome> {
        let key = &version.key;
        if self.holds(key) {
            return Some(JoinOutcome::AlreadyStored);
        }
        if !self.wants(key) {
            return Some(JoinOutcome::Older);
        }
        let too_long = version.text.len() > MAX_FILE_BYTES || key.name.len() > MAX_FILE_NAME_BYTES;
        let too_much = self.bytes + version.text.len() > MAX_STORE_BYTES;
        let too_many = !self.files.contains_key(&key.name) && self.files.len() >= MAX_FILES;
        (too_long || too_much || too_many).then_some(JoinOutcome::TooLarge)
    }

    fn subtract_totals(&mut self, file: &StoredFile) {
        for version in file.versions() {
            let bucket = &mut self.buckets[bucket_of(&version.key.name)];
            *bucket = bucket.wrapping_sub(digest_of(&version.key));
            self.bytes -= version.text.len();
        }
    }

    fn add_totals(&mut self, file: &StoredFile) {
        for version in file.versions() {
            let bucket = &mut self.buckets[bucket_of(&version.key.name)];
            *bucket = bucket.wrapping_add(digest_of(&version.key));
            self.bytes += version.text.len();
        }
    }

    /// Returns whether exactly this version is stored.
    pub fn holds(&self, key: &VersionKey) -> bool {
        self.version(key).is_some()
    }

    /// Returns whether a peer's version may be needed. A version below the newest may be the newest
    /// accepted one, which is only known once its text has been fetched.
    pub fn wants(&self, key: &VersionKey) -> bool {
        let Some(file) = self.files.get(&key.name) else { return true };
        if outranks(key, file.newest.as_ref()) {
            return true;
        }
        let is_newest = file.newest.as_ref().is_some_and(|newest| newest.key == *key);
        !file.newest_passes && !is_newest && outranks(key, file.accepted.as_ref())
    }

    /// Returns the version with this key.
    pub fn version(&self, key: &VersionKey) -> Option<&FileVersion> {
        self.files.get(&key.name)?.versions().find(|version| version.key == *key)
    }

    /// Returns the newest version of a file.
    pub fn newest(&self, name: &str) -> Option<&FileVersion> {
        self.files.get(name)?.newest.as_ref()
    }

    /// Returns the delta that starts from the base version with this revision and checksum.
    pub(crate) fn delta_from(&self, name: &str, base: (u64, u64)) -> Option<&DeltaStep> {
        let deltas = &self.files.get(name)?.deltas;
        deltas.iter().find(|step| (step.base.revision, step.base.checksum) == base)
    }

    /// Returns each file's newest version and the newest that passes its check.
    pub fn latest(&self) -> impl Iterator<Item = LatestVersion<'_>> {
        self.files.values().filter_map(|file| {
            let newest = file.newest.as_ref()?;
            let accepted = if file.newest_passes { Some(newest) } else { file.accepted.as_ref() };
            Some(LatestVersion { newest, accepted })
        })
    }

    /// Returns the keys of all stored versions in the buckets that `wanted` selects.
    pub fn inventory(&self, wanted: impl Fn(usize) -> bool) -> Vec<VersionKey> {
        let files = self.files.iter().filter(|(name, _)| wanted(bucket_of(name)));
        files.flat_map(|(_, file)| file.versions().map(|version| version.key.clone())).collect()
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Returns the digest of all stored versions. Equal stores have equal digests.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.buckets.iter().for_each(|bucket| hasher.update(&bucket.to_le_bytes()));
        hasher.digest()
    }

    /// Returns the highest stored service revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of stored files, including removed ones.
    pub fn files(&self) -> usize {
        self.files.len()
    }

    /// Returns the total size of all texts in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl StoredFile {
    fn versions(&self) -> impl Iterator<Item = &FileVersion> {
        self.newest.iter().chain(self.accepted.iter())
    }

    /// Returns whether a version is needed, given whether it passes its check.
    fn needs(&self, version: &FileVersion, passes: bool) -> bool {
        let key = &version.key;
        outranks(key, self.newest.as_ref())
            || (passes && !self.newest_passes && outranks(key, self.accepted.as_ref()))
    }

    /// Stores a version that is needed.
    fn take(&mut self, version: FileVersion, passes: bool) {
        if !outranks(&version.key, self.newest.as_ref()) {
            self.accepted = Some(version);
            return;
        }
        if let Some(previous) = self.newest.take() {
            self.keep_delta(&previous, &version);
            if self.newest_passes {
                self.accepted = Some(previous);
            }
        }
        if passes {
            self.accepted = None;
        }
        self.newest_passes = passes;
        self.newest = Some(version);
    }

    fn keep_delta(&mut self, previous: &FileVersion, version: &FileVersion) {
        self.deltas.extend(DeltaStep::between(previous, version));
        let surplus = self.deltas.len().saturating_sub(MAX_DELTAS);
        self.deltas.drain(..surplus);
    }
}
