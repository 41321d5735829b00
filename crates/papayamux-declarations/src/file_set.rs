//! The set of known file revisions, merged independently of the order in which they arrive.

use std::collections::BTreeMap;
use std::sync::Arc;

use papayamux_settings::{Finding, Findings};
use xxhash_rust::xxh3::Xxh3;

use crate::file::{DeclarationFile, ParsedFile};
use crate::values::{FileName, FileRevision};

/// Maximum number of files in a set. It bounds memory and is far above the number of teams of any
/// fleet.
pub const MAX_FILES: usize = 8_192;
/// Maximum number of findings kept with a refused revision.
const MAX_FINDINGS: usize = 32;
/// Length in bytes above which a text of a finding is truncated in a refused revision.
const MAX_FINDING_TEXT_BYTES: usize = 256;

/// A revision that is refused because its content is invalid.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefusedRevision {
    /// The number of the refused revision.
    pub revision: FileRevision,
    /// The first findings, with truncated texts; `papayamux check` shows all of them in full.
    pub findings: Vec<Finding>,
    /// The number of all findings, including those left out.
    pub count: usize,
}

impl RefusedRevision {
    /// Creates the refusal, keeping only the first findings and truncating their texts.
    pub fn new(revision: FileRevision, findings: Findings) -> Self {
        let count = findings.0.len();
        let mut findings = findings.0;
        findings.truncate(MAX_FINDINGS);
        for finding in &mut findings {
            for text in [&mut finding.place, &mut finding.message, &mut finding.help] {
                shorten(text);
            }
        }
        Self { revision, findings, count }
    }
}

fn shorten(text: &mut String) {
    if text.len() > MAX_FINDING_TEXT_BYTES {
        *text = text.chars().take(MAX_FINDING_TEXT_BYTES / 4).collect();
        text.push('…');
    }
}

/// The newest valid revision of a file, with its parsed content.
#[derive(Debug, Clone)]
struct ValidRevision {
    file: Arc<DeclarationFile>,
    hash: u128,
    parsed: Arc<ParsedFile>,
}

/// The known state of one file: its newest valid revision and, if a newer one was refused, the
/// number and the findings of that one.
#[derive(Debug, Clone, Default)]
pub struct FileRecord {
    valid: Option<ValidRevision>,
    refused: Option<RefusedRevision>,
}

/// A summary of a [`FileRecord`] by which two processes compare their state of a file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileHead {
    /// The number of the newest valid revision.
    pub valid: Option<FileRevision>,
    /// The hash of its content; 0 if there is no valid revision or the file is deleted.
    pub content_hash: u128,
    /// The number of the newest refused revision, if it is newer than the valid one.
    pub refused: Option<FileRevision>,
}

impl FileRecord {
    /// Returns the newest valid revision, which is the one in force.
    pub fn valid(&self) -> Option<&DeclarationFile> {
        self.valid.as_ref().map(|valid| &*valid.file)
    }

    /// Returns the content of the newest valid revision; empty for a deleted file.
    pub fn parsed(&self) -> Option<&ParsedFile> {
        self.valid.as_ref().map(|valid| &*valid.parsed)
    }

    /// Returns the newest refused revision, if it is newer than the valid one.
    pub fn refused(&self) -> Option<&RefusedRevision> {
        self.refused.as_ref()
    }

    /// Returns the newest known revision, valid or refused.
    pub fn newest(&self) -> Option<FileRevision> {
        let valid = self.valid().map(|file| file.revision);
        valid.max(self.refused.as_ref().map(|refused| refused.revision))
    }

    /// Returns the summary that is compared with other processes.
    pub fn head(&self) -> FileHead {
        FileHead {
            valid: self.valid().map(|file| file.revision),
            content_hash: self.valid.as_ref().map_or(0, |valid| valid.hash),
            refused: self.refused.as_ref().map(|refused| refused.revision),
        }
    }

    /// Adopts the newer parts of `other`; returns `true` if the record changed.
    fn join(&mut self, other: &Self) -> bool {
        let valid = other.valid.as_ref().is_some_and(|valid| self.join_valid(valid));
        let refused = other.refused.as_ref().is_some_and(|refused| self.join_refused(refused));
        valid || refused
    }

    /// Keeps the higher revision; between two contents of the same revision, the higher hash.
    fn join_valid(&mut self, offered: &ValidRevision) -> bool {
        let rank = |valid: &ValidRevision| (valid.file.revision, valid.hash);
        if self.valid.as_ref().is_some_and(|known| rank(known) >= rank(offered)) {
            return false;
        }
        self.valid = Some(offered.clone());
        if self.refused.as_ref().is_some_and(|known| known.revision <= offered.file.revision) {
            self.refused = None;
        }
        true
    }

    fn join_refused(&mut self, offered: &RefusedRevision) -> bool {
        let superseded =
            self.valid.as_ref().is_some_and(|valid| valid.file.revision >= offered.revision);
        if superseded || self.refused.as_ref().is_some_and(|known| known >= offered) {
            return false;
        }
        self.refused = Some(offered.clone());
        true
    }
}

/// The outcome of offering a revision to a [`FileSet`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RevisionOutcome {
    /// The revision is now the newest valid one.
    Accepted,
    /// The revision is newer than the valid one, but its content is invalid.
    Refused,
    /// The revision was known already.
    Known,
    /// The revision is older than the known one, as after a stale read or a rollback.
    Stale,
    /// The set already holds [`MAX_FILES`] files.
    Full,
}

impl RevisionOutcome {
    /// Returns the stable label used in metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            RevisionOutcome::Accepted => "accepted",
            RevisionOutcome::Refused => "refused",
            RevisionOutcome::Known => "known",
            RevisionOutcome::Stale => "stale",
            RevisionOutcome::Full => "full",
        }
    }
}

/// All file revisions that a process has received.
///
/// The set is a join-semilattice: offering revisions and merging sets are commutative, associative
/// and idempotent, so that two processes that have received the same revisions hold the same set.
/// A file never returns to an older revision.
#[derive(Debug, Clone, Default)]
pub struct FileSet {
    records: BTreeMap<FileName, FileRecord>,
}

impl FileSet {
    /// Adds a revision of a file that was read from the configuration service or sent by a peer.
    pub fn offer(&mut self, file: DeclarationFile) -> RevisionOutcome {
        let (name, revision) = (file.name.clone(), file.revision);
        if let Some(outcome) = self.outcome_without_parsing(&file) {
            return outcome;
        }
        let (offered, outcome) = match file.parse() {
            Ok(parsed) => {
                let hash = file.content_hash();
                let parsed = Arc::new(parsed.unwrap_or_default());
                let valid = ValidRevision { file: Arc::new(file), hash, parsed };
                (FileRecord { valid: Some(valid), refused: None }, RevisionOutcome::Accepted)
            }
            Err(findings) => {
                let refused = RefusedRevision::new(revision, findings);
                (FileRecord { valid: None, refused: Some(refused) }, RevisionOutcome::Refused)
            }
        };
        self.join_record(&name, &offered, outcome)
    }

    /// Returns the outcome without parsing if the revision can't change the record.
    fn outcome_without_parsing(&self, file: &DeclarationFile) -> Option<RevisionOutcome> {
        let head = self.records.get(&file.name)?.head();
        if head.valid.is_some_and(|valid| file.revision < valid) {
            return Some(RevisionOutcome::Stale);
        }
        let same = head.valid == Some(file.revision) && head.content_hash == file.content_hash();
        same.then_some(RevisionOutcome::Known)
    }

    /// Adds a refusal sent by a peer, which comes without the text of the refused revision.
    pub fn offer_refused(&mut self, name: &FileName, refused: RefusedRevision) -> RevisionOutcome {
        let offered = FileRecord { valid: None, refused: Some(refused) };
        self.join_record(name, &offered, RevisionOutcome::Refused)
    }

    fn join_record(
        &mut self,
        name: &FileName,
        offered: &FileRecord,
        joined: RevisionOutcome,
    ) -> RevisionOutcome {
        if !self.records.contains_key(name) && self.records.len() >= MAX_FILES {
            return RevisionOutcome::Full;
        }
        let record = self.records.entry(name.clone()).or_default();
        match record.join(offered) {
            true => joined,
            false if offered.newest() < record.newest() => RevisionOutcome::Stale,
            false => RevisionOutcome::Known,
        }
    }

    /// Adopts all newer records of `other`; returns `true` if the set changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (name, record) in &other.records {
            let outcome = self.join_record(name, record, RevisionOutcome::Accepted);
            changed |= outcome == RevisionOutcome::Accepted;
        }
        changed
    }

    /// Returns the record of a file.
    pub fn record(&self, name: &FileName) -> Option<&FileRecord> {
        self.records.get(name)
    }

    /// Returns the records of all files, sorted by name.
    pub fn records(&self) -> impl Iterator<Item = (&FileName, &FileRecord)> {
        self.records.iter()
    }

    /// Returns the summaries of all files, sorted by name.
    pub fn heads(&self) -> impl Iterator<Item = (&FileName, FileHead)> {
        self.records.iter().map(|(name, record)| (name, record.head()))
    }

    /// Returns the number of known files, including deleted ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns `true` if no file is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns a hash over all summaries, which is equal for processes with the same set.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (name, head) in self.heads() {
            let number = |revision: Option<FileRevision>| match revision {
                None => [0; 9],
                Some(revision) => {
                    let mut bytes = [1; 9];
                    bytes[1..].copy_from_slice(&revision.get().to_le_bytes());
                    bytes
                }
            };
            hasher.update(&(name.as_str().len() as u64).to_le_bytes());
            hasher.update(name.as_str().as_bytes());
            hasher.update(&number(head.valid));
            hasher.update(&head.content_hash.to_le_bytes());
            hasher.update(&number(head.refused));
        }
        hasher.digest()
    }
}
