//! The versions that a process holds.
//!
//! Of each file the store keeps the newest version and, where that one is refused, the newest
//! version that is not. Both are maxima, so that the same versions lead to the same store
//! whatever their order, repetitions and age, and no version is ever replaced by an older one.

use std::collections::BTreeMap;

use papayamux_protocol::peer::{VersionKey, DIGEST_BUCKETS, LONGEST_FILE, LONGEST_FILE_NAME};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use super::delta::DeltaStep;
use super::file_version::FileVersion;
use crate::instances::is_instances;

/// Files that a store may hold, removed ones included.
const MAX_FILES: usize = 4_096;
/// Bytes of text that a store may hold.
const MOST_BYTES: usize = 16 * 1024 * 1024;
/// Deltas kept for each file.
const MOST_DELTAS: usize = 4;

/// Whether a text may come into force by itself. It must depend on its arguments alone.
pub type FileCheck = fn(name: &str, text: &str) -> bool;

/// What became of a version that was brought to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinOutcome {
    /// It is held now.
    Taken,
    /// It was held already.
    Known,
    /// A newer one is held, and it adds nothing.
    Older,
    /// The store's bounds do not allow it.
    TooLarge,
}

/// The newest version of one file, and the one to be used where that is refused.
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
    /// Whether `newest` passes its check.
    newest_passes: bool,
    /// Held only while `newest` is refused.
    accepted: Option<FileVersion>,
    deltas: Vec<DeltaStep>,
}

/// All versions held.
#[derive(Debug)]
pub struct FileStore {
    check: FileCheck,
    files: BTreeMap<String, StoredFile>,
    buckets: [u64; DIGEST_BUCKETS],
    bytes: usize,
    revision: u64,
}

/// The bucket of a file's name.
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

/// Versions of the same revision that differ are put in the same order everywhere.
fn rank(key: &VersionKey) -> (u64, bool, u64) {
    (key.revision, key.removed, key.checksum)
}

fn outranks(key: &VersionKey, held: Option<&FileVersion>) -> bool {
    held.is_none_or(|held| rank(key) > rank(&held.key))
}

impl FileStore {
    /// An empty store that accepts what passes `check`.
    pub fn new(check: FileCheck) -> Self {
        let buckets = [0; DIGEST_BUCKETS];
        Self { check, files: BTreeMap::new(), buckets, bytes: 0, revision: 0 }
    }

    /// Takes a version where it is newer than what is held.
    pub fn join(&mut self, version: FileVersion) -> JoinOutcome {
        if let Some(outcome) = self.refuse_early(&version) {
            return outcome;
        }
        let passes = version.key.removed || (self.check)(&version.key.name, &version.text);
        let of_use =
            self.files.get(&version.key.name).is_none_or(|file| file.lacks(&version, passes));
        if !of_use {
            return JoinOutcome::Older;
        }
        let name = version.key.name.clone();
        if !is_instances(&name) {
            self.revision = self.revision.max(version.key.revision);
        }
        let mut file = self.files.remove(&name).unwrap_or_default();
        self.forget(&file);
        file.take(version, passes);
        self.remember(&file);
        self.files.insert(name, file);
        JoinOutcome::Taken
    }

    /// The outcome for a version that need not be checked.
    fn refuse_early(&self, version: &FileVersion) -> Option<JoinOutcome> {
        let key = &version.key;
        if self.holds(key) {
            return Some(JoinOutcome::Known);
        }
        if !self.wants(key) {
            return Some(JoinOutcome::Older);
        }
        let too_long = version.text.len() > LONGEST_FILE || key.name.len() > LONGEST_FILE_NAME;
        let too_much = self.bytes + version.text.len() > MOST_BYTES;
        let too_many = !self.files.contains_key(&key.name) && self.files.len() >= MAX_FILES;
        (too_long || too_much || too_many).then_some(JoinOutcome::TooLarge)
    }

    fn forget(&mut self, file: &StoredFile) {
        for version in file.versions() {
            let bucket = &mut self.buckets[bucket_of(&version.key.name)];
            *bucket = bucket.wrapping_sub(digest_of(&version.key));
            self.bytes -= version.text.len();
        }
    }

    fn remember(&mut self, file: &StoredFile) {
        for version in file.versions() {
            let bucket = &mut self.buckets[bucket_of(&version.key.name)];
            *bucket = bucket.wrapping_add(digest_of(&version.key));
            self.bytes += version.text.len();
        }
    }

    /// Whether exactly this version is held.
    pub fn holds(&self, key: &VersionKey) -> bool {
        self.version(key).is_some()
    }

    /// Whether a version that a peer holds would be of use here. A version below the newest may
    /// be the last accepted one, which is only known once its text is here.
    pub fn wants(&self, key: &VersionKey) -> bool {
        let Some(file) = self.files.get(&key.name) else { return true };
        if outranks(key, file.newest.as_ref()) {
            return true;
        }
        let is_newest = file.newest.as_ref().is_some_and(|newest| newest.key == *key);
        !file.newest_passes && !is_newest && outranks(key, file.accepted.as_ref())
    }

    /// The version with this key.
    pub fn version(&self, key: &VersionKey) -> Option<&FileVersion> {
        self.files.get(&key.name)?.versions().find(|version| version.key == *key)
    }

    /// The newest version of a file.
    pub fn newest(&self, name: &str) -> Option<&FileVersion> {
        self.files.get(name)?.newest.as_ref()
    }

    /// The delta that leads on from a base version.
    pub(crate) fn delta_from(&self, name: &str, base: (u64, u64)) -> Option<&DeltaStep> {
        let deltas = &self.files.get(name)?.deltas;
        deltas.iter().find(|step| (step.base.revision, step.base.checksum) == base)
    }

    /// Each file's newest version and the one that passes its check.
    pub fn latest(&self) -> impl Iterator<Item = LatestVersion<'_>> {
        self.files.values().filter_map(|file| {
            let newest = file.newest.as_ref()?;
            let accepted = if file.newest_passes { Some(newest) } else { file.accepted.as_ref() };
            Some(LatestVersion { newest, accepted })
        })
    }

    /// The keys of all versions held, of the buckets in `wanted`.
    pub fn inventory(&self, wanted: impl Fn(usize) -> bool) -> Vec<VersionKey> {
        let files = self.files.iter().filter(|(name, _)| wanted(bucket_of(name)));
        files.flat_map(|(_, file)| file.versions().map(|version| version.key.clone())).collect()
    }

    /// The digest of each bucket.
    pub fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// The digest of all versions held; equal stores have equal digests.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.buckets.iter().for_each(|bucket| hasher.update(&bucket.to_le_bytes()));
        hasher.digest()
    }

    /// The highest revision of the service held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Files held, removed ones included.
    pub fn files(&self) -> usize {
        self.files.len()
    }

    /// Bytes of all texts held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl StoredFile {
    fn versions(&self) -> impl Iterator<Item = &FileVersion> {
        self.newest.iter().chain(self.accepted.iter())
    }

    /// Whether a version would be of use, given whether it passes its check.
    fn lacks(&self, version: &FileVersion, passes: bool) -> bool {
        let key = &version.key;
        outranks(key, self.newest.as_ref())
            || (passes && !self.newest_passes && outranks(key, self.accepted.as_ref()))
    }

    /// Takes a version that is of use.
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
        let surplus = self.deltas.len().saturating_sub(MOST_DELTAS);
        self.deltas.drain(..surplus);
    }
}
