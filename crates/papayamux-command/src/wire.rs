//! The JSON output of `--json`.

use papayamux_declarations::{BlockedItem, Explanation, FileRefusal};
use papayamux_settings::Finding;
use serde::Serialize;

/// A finding.
#[derive(Debug, Clone, Serialize)]
pub struct FindingWire {
    file: String,
    line: usize,
    place: String,
    message: String,
    help: String,
}

impl From<&Finding> for FindingWire {
    fn from(finding: &Finding) -> Self {
        let Finding { file, line, place, message, help } = finding.clone();
        Self { file, line, place, message, help }
    }
}

/// A refused revision.
#[derive(Debug, Clone, Serialize)]
pub struct RefusalWire {
    file: String,
    revision: u64,
    in_force: Option<u64>,
    findings: Vec<FindingWire>,
}

impl RefusalWire {
    /// Creates the refusal with all `findings`; the refusal itself keeps only the first ones.
    pub fn with_findings(refusal: &FileRefusal, findings: &[Finding]) -> Self {
        Self {
            file: refusal.file.to_string(),
            revision: refusal.refused.revision.get(),
            in_force: refusal.in_force.map(|revision| revision.get()),
            findings: findings.iter().map(FindingWire::from).collect(),
        }
    }
}

impl From<&FileRefusal> for RefusalWire {
    fn from(refusal: &FileRefusal) -> Self {
        Self::with_findings(refusal, &refusal.refused.findings)
    }
}

/// A part of an accepted file without effect.
#[derive(Debug, Clone, Serialize)]
pub struct BlockedWire {
    file: String,
    revision: u64,
    line: usize,
    kind: String,
    name: String,
    key: Option<&'static str>,
    reason: &'static str,
    message: String,
    help: &'static str,
    conflict: bool,
}

impl From<&BlockedItem> for BlockedWire {
    fn from(blocked: &BlockedItem) -> Self {
        let BlockedItem { origin, kind, name, key, reason } = blocked;
        Self {
            file: origin.file.to_string(),
            revision: origin.revision.get(),
            line: origin.line,
            kind: kind.to_string(),
            name: name.clone(),
            key: *key,
            reason: reason.label(),
            message: reason.to_string(),
            help: reason.help(),
            conflict: reason.is_conflict(),
        }
    }
}

/// The result of `check`.
#[derive(Debug, Clone, Serialize)]
pub struct VerdictWire {
    pub(crate) clean: bool,
    pub(crate) files: Vec<FileWire>,
    pub(crate) refused: Vec<RefusalWire>,
    pub(crate) blocked: Vec<BlockedWire>,
    pub(crate) digest: String,
}

/// A file in force.
#[derive(Debug, Clone, Serialize)]
pub struct FileWire {
    pub(crate) file: String,
    pub(crate) revision: u64,
}

/// The answer of `explain` to one query.
#[derive(Debug, Clone, Serialize)]
pub struct ExplanationWire {
    question: String,
    in_force: bool,
    file: Option<String>,
    revision: Option<u64>,
    line: Option<usize>,
    value: Option<String>,
    blocked: Vec<BlockedWire>,
    refused: Vec<RefusalWire>,
}

impl From<&Explanation> for ExplanationWire {
    fn from(explanation: &Explanation) -> Self {
        let Explanation { query, origin, value, blocked, refused } = explanation;
        Self {
            question: query.to_string(),
            in_force: origin.is_some(),
            file: origin.as_ref().map(|origin| origin.file.to_string()),
            revision: origin.as_ref().map(|origin| origin.revision.get()),
            line: origin.as_ref().map(|origin| origin.line),
            value: value.clone(),
            blocked: blocked.iter().map(BlockedWire::from).collect(),
            refused: refused.iter().map(RefusalWire::from).collect(),
        }
    }
}

/// Formats `value` as indented JSON with a final newline.
pub fn to_json(value: &impl Serialize) -> String {
    match serde_json::to_string_pretty(value) {
        Ok(text) => format!("{text}\n"),
        Err(error) => format!("{{\"error\":{:?}}}\n", error.to_string()),
    }
}
