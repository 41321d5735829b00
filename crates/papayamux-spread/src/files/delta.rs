//! Line-based deltas between two versions of a file.

use std::collections::HashMap;

use bytes::Bytes;
use papayamux_protocol::peer::{VersionKey, MAX_FILE_BYTES};
use prost::Message;
use thiserror::Error;

use super::file_version::FileVersion;

/// Minimum ratio of the text's size to the delta's at which the delta is kept.
const MIN_TEXT_TO_DELTA_RATIO: usize = 4;
/// Maximum size of a kept delta in bytes.
const MAX_DELTA_BYTES: usize = 64 * 1024;

/// The error of applying a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The delta copies lines that its base doesn't have.
    #[error("the delta copies lines that its base doesn't have")]
    OutOfRange,
    /// The result exceeds the maximum file size.
    #[error("the result of the delta exceeds the maximum file size")]
    TooLong,
}

/// One step of a delta: copied lines of the base, followed by new text.
#[derive(Clone, PartialEq, Message)]
struct WireStep {
    #[prost(uint32, tag = "1")]
    first_line: u32,
    #[prost(uint32, tag = "2")]
    lines: u32,
    #[prost(string, tag = "3")]
    insert: String,
}

/// Wire form of a delta.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireDelta {
    #[prost(message, repeated, tag = "1")]
    steps: Vec<WireStep>,
}

/// An encoded delta from one version of a file to a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeltaStep {
    /// The version to which the delta applies.
    pub base: VersionKey,
    /// The version that results.
    pub target: VersionKey,
    /// The encoded steps.
    pub steps: Bytes,
}

impl DeltaStep {
    /// Returns the delta between two versions if it is much shorter than the text.
    pub fn between(base: &FileVersion, target: &FileVersion) -> Option<Self> {
        if base.key.removed || target.key.removed {
            return None;
        }
        let steps = WireDelta::between(&base.text, &target.text).encode_to_vec();
        let worthwhile = steps.len() * MIN_TEXT_TO_DELTA_RATIO < target.text.len();
        if !worthwhile || steps.len() > MAX_DELTA_BYTES {
            return None;
        }
        Some(Self { base: base.key.clone(), target: target.key.clone(), steps: steps.into() })
    }
}

impl WireDelta {
    fn between(base: &str, target: &str) -> Self {
        let base: Vec<&str> = base.split_inclusive('\n').collect();
        let mut positions: HashMap<&str, Vec<usize>> = HashMap::new();
        for (index, line) in base.iter().enumerate() {
            positions.entry(line).or_default().push(index);
        }
        let mut delta = Self::default();
        let mut next = 0;
        for line in target.split_inclusive('\n') {
            let Some(found) = positions.get(line).map(|positions| next_occurrence(positions, next))
            else {
                delta.insert(line);
                continue;
            };
            delta.copy(found);
            next = found + 1;
        }
        delta
    }

    fn insert(&mut self, line: &str) {
        match self.steps.last_mut() {
            Some(step) => step.insert.push_str(line),
            None => self.steps.push(WireStep { insert: line.to_string(), ..WireStep::default() }),
        }
    }

    fn copy(&mut self, line: usize) {
        let line = line as u32;
        if let Some(step) = self.steps.last_mut() {
            if step.insert.is_empty() && step.first_line + step.lines == line {
                step.lines += 1;
                return;
            }
        }
        self.steps.push(WireStep { first_line: line, lines: 1, insert: String::new() });
    }

    /// Returns the result of applying the delta to `base`.
    pub(crate) fn apply(&self, base: &str) -> Result<String, DeltaError> {
        let base: Vec<&str> = base.split_inclusive('\n').collect();
        let mut text = String::new();
        for step in &self.steps {
            let first = step.first_line as usize;
            let end = first.saturating_add(step.lines as usize);
            let copied = base.get(first..end).ok_or(DeltaError::OutOfRange)?;
            let length: usize = copied.iter().map(|line| line.len()).sum();
            if text.len() + length + step.insert.len() > MAX_FILE_BYTES {
                return Err(DeltaError::TooLong);
            }
            copied.iter().for_each(|line| text.push_str(line));
            text.push_str(&step.insert);
        }
        Ok(text)
    }
}

/// Returns the first of the sorted `positions` at or after `next`, or else the first of all.
fn next_occurrence(positions: &[usize], next: usize) -> usize {
    let after = positions.partition_point(|position| *position < next);
    positions.get(after).or(positions.first()).copied().unwrap_or(0)
}
