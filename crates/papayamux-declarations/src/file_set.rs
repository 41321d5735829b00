//! All that a process has heard of the files: a join, whatever the order.

use std::collections::BTreeMap;
use std::sync::Arc;

use papayamux_settings::{Finding, Findings};
use xxhash_rust::xxh3::Xxh3;

use crate::file::{DeclarationFile, ParsedFile};
use crate::values::{FileName, FileRevision};

/// Files that a set holds at most; a guard of memory far above any fleet's number of teams.
pub const MAX_FILES: usize = 8_192;
/// Findings that a refused revision keeps.
const MAX_FINDINGS: usize = 32;
/// Bytes of each text of a finding that a refused revision keeps.
const MAX_FINDING_TEXT_BYTES: usize = 256;

/// A revision that must be refused for what stands in it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefusedRevision {
    /// The revision.
    pub revision: FileRevision,
    /// The first findings, shortened; `papayamux check` shows them all.
    pub findings: Vec<Finding>,
    /// How many findings there are.
    pub count: usize,
}

impl RefusedRevision {
    /// The refusal of a revision for `findings`.
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

/// The newest valid revision of a file.
#[derive(Debug, Clone)]
struct ValidRevision {
    file: Arc<DeclarationFile>,
    hash: u128,
    parsed: Arc<ParsedFile>,
}

/// What is known of one file: its newest valid revision and, where a newer one had to be
/// refused, that one's number and findings.
#[derive(Debug, Clone, Default)]
pub struct FileRecord {
    valid: Option<ValidRevision>,
    refused: Option<RefusedRevision>,
}

/// The head of a record, which tells two processes whether they know the same of a file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FileHead {
    /// The newest valid revision.
    pub valid: Option<FileRevision>,
    /// A hash of its content.
    pub content_hash: u128,
    /// The newest refused revision, where it is newer than the valid one.
    pub refused: Option<FileRevision>,
}

impl FileRecord {
    /// The newest valid revision, which is the one in force.
    pub fn valid(&self) -> Option<&DeclarationFile> {
        self.valid.as_ref().map(|valid| &*valid.file)
    }

    /// What the newest valid revision declares; nothing for a deleted file.
    pub fn parsed(&self) -> Option<&ParsedFile> {
        self.valid.as_ref().map(|valid| &*valid.parsed)
    }

    /// The newest refused revision, where it is newer than the valid one.
    pub fn refused(&self) -> Option<&RefusedRevision> {
        self.refused.as_ref()
    }

    /// The newest revision heard of.
    pub fn newest(&self) -> Option<FileRevision> {
        let valid = self.valid().map(|file| file.revision);
        valid.max(self.refused.as_ref().map(|refused| refused.revision))
    }

    /// The record's head.
    pub fn head(&self) -> FileHead {
        FileHead {
            valid: self.valid().map(|file| file.revision),
            content_hash: self.valid.as_ref().map_or(0, |valid| valid.hash),
            refused: self.refused.as_ref().map(|refused| refused.revision),
        }
    }

    /// Takes what `other` knows better; whether anything was.
    fn join(&mut self, other: &Self) -> bool {
        let valid = other.valid.as_ref().is_some_and(|valid| self.join_valid(valid));
        let refused = other.refused.as_ref().is_some_and(|refused| self.join_refused(refused));
        valid || refused
    }

    /// The higher revision wins, between two texts of one revision the higher hash.
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

/// What became of a revision that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RevisionOutcome {
    /// It is the newest valid one now.
    Accepted,
    /// It is newer than the valid one, but must be refused.
    Refused,
    /// Nothing new: it was known already.
    Known,
    /// It is older than what is known: a stale or rolled-back read.
    Stale,
    /// The set holds [`MAX_FILES`] files already.
    Full,
}

impl RevisionOutcome {
    /// The stable word for metrics and logs.
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

/// All that a process has heard of the files.
///
/// The set is a join-semilattice: offering revisions and merging sets commute, associate and may
/// be repeated, so that two processes that have heard the same hold the same set. No file ever
/// goes back to an older revision.
#[derive(Debug, Clone, Default)]
pub struct FileSet {
    records: BTreeMap<FileName, FileRecord>,
}

impl FileSet {
    /// Takes in one revision of one file, read from the service or passed on by a peer.
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

    /// Spares the parsing of what can't change the record.
    fn outcome_without_parsing(&self, file: &DeclarationFile) -> Option<RevisionOutcome> {
        let head = self.records.get(&file.name)?.head();
        if head.valid.is_some_and(|valid| file.revision < valid) {
            return Some(RevisionOutcome::Stale);
        }
        let same = head.valid == Some(file.revision) && head.content_hash == file.content_hash();
        same.then_some(RevisionOutcome::Known)
    }

    /// Takes in a refusal that a peer passed on, without the refused text.
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

    /// Takes in all that `other` knows better; whether anything was.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (name, record) in &other.records {
            let outcome = self.join_record(name, record, RevisionOutcome::Accepted);
            changed |= outcome == RevisionOutcome::Accepted;
        }
        changed
    }

    /// What is known of one file.
    pub fn record(&self, name: &FileName) -> Option<&FileRecord> {
        self.records.get(name)
    }

    /// What is known of each file, by name.
    pub fn records(&self) -> impl Iterator<Item = (&FileName, &FileRecord)> {
        self.records.iter()
    }

    /// The head of each file, by name.
    pub fn heads(&self) -> impl Iterator<Item = (&FileName, FileHead)> {
        self.records.iter().map(|(name, record)| (name, record.head()))
    }

    /// How many files are known, deleted ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing was heard yet.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// A hash over all heads: equal where two processes have heard the same.
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
