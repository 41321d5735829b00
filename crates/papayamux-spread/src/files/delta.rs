//! What changed between two versions of a file, line by line.

use std::collections::HashMap;

use bytes::Bytes;
use papayamux_protocol::peer::{VersionKey, MAX_FILE_BYTES};
use prost::Message;
use thiserror::Error;

use super::file_version::FileVersion;

/// A delta is kept only where it is shorter than this share of the text.
const WORTHWHILE_SHARE: usize = 4;
/// Bytes of the longest delta kept.
const LONGEST_DELTA: usize = 64 * 1024;

/// Why a delta can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// It copies lines that its base has not got.
    #[error("the delta copies lines beyond its base")]
    Beyond,
    /// Its result is longer than a file may be.
    #[error("the delta's result is too long")]
    TooLong,
}

/// One step of a delta: lines of the base, then new text.
#[derive(Clone, PartialEq, Message)]
struct WireStep {
    #[prost(uint32, tag = "1")]
    first_line: u32,
    #[prost(uint32, tag = "2")]
    lines: u32,
    #[prost(string, tag = "3")]
    insert: String,
}

/// The steps of a delta.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireDelta {
    #[prost(message, repeated, tag = "1")]
    steps: Vec<WireStep>,
}

/// The way from one version of a file to a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeltaStep {
    /// The version it starts from.
    pub base: VersionKey,
    /// The version it leads to.
    pub target: VersionKey,
    /// The encoded steps.
    pub steps: Bytes,
}

impl DeltaStep {
    /// The delta between two versions, where it is much shorter than the text.
    pub fn between(base: &FileVersion, target: &FileVersion) -> Option<Self> {
        if base.key.removed || target.key.removed {
            return None;
        }
        let steps = WireDelta::between(&base.text, &target.text).encode_to_vec();
        let worthwhile = steps.len() * WORTHWHILE_SHARE < target.text.len();
        if !worthwhile || steps.len() > LONGEST_DELTA {
            return None;
        }
        Some(Self { base: base.key.clone(), target: target.key.clone(), steps: steps.into() })
    }
}

impl WireDelta {
    fn between(base: &str, target: &str) -> Self {
        let base: Vec<&str> = base.split_inclusive('\n').collect();
        let mut places: HashMap<&str, Vec<usize>> = HashMap::new();
        for (index, line) in base.iter().enumerate() {
            places.entry(line).or_default().push(index);
        }
        let mut delta = Self::default();
        let mut next = 0;
        for line in target.split_inclusive('\n') {
            let Some(found) = places.get(line).map(|places| nearest(places, next)) else {
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

    /// The text that the delta makes of `base`.
    pub(crate) fn apply(&self, base: &str) -> Result<String, DeltaError> {
        let base: Vec<&str> = base.split_inclusive('\n').collect();
        let mut text = String::new();
        for step in &self.steps {
            let first = step.first_line as usize;
            let end = first.saturating_add(step.lines as usize);
            let copied = base.get(first..end).ok_or(DeltaError::Beyond)?;
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

/// The first of `places` at or after `next`, or else the first of all.
fn nearest(places: &[usize], next: usize) -> usize {
    let after = places.partition_point(|place| *place < next);
    places.get(after).or(places.first()).copied().unwrap_or(0)
}
