//! The sequence of parts that make up a prompt.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::quantities::TokenCount;

/// Maximum number of parts in a prompt.
const MAX_PARTS: usize = 256;
/// Maximum number of parts of a prompt that are suspected if a server crashes, so that one prompt
/// can't fill the table of suspects.
const MAX_SUSPECT_PARTS: usize = 64;

/// Identifies a part of a prompt. Parts with equal ids have equal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// The error of parsing a [`PartId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the name of a part is hexadecimal")]
pub struct PartIdError;

impl FromStr for PartId {
    type Err = PartIdError;

    /// Parses a hexadecimal id. An id that doesn't fit into 64 bits is hashed to 64 bits.
    fn from_str(text: &str) -> Result<Self, PartIdError> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(PartIdError);
        }
        let number = match u64::from_str_radix(text, 16) {
            Ok(number) => number,
            Err(_) => xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
        };
        Ok(Self(number))
    }
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part.
    pub id: PartId,
    /// The length of the part.
    pub tokens: TokenCount,
}

/// The error of parsing a [`PromptChain`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChainError {
    /// A part is not of the form ID:TOKENS with a hexadecimal ID.
    #[error("part {index} is not of the form ID:TOKENS")]
    Part {
        /// The index of the part, from 0.
        index: usize,
    },
    /// There are too many parts.
    #[error("a prompt has at most {MAX_PARTS} parts")]
    TooMany,
}

/// A prompt as a chain of parts. An engine can use a cached part only after all parts before it. The
/// last part belongs to a single session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptChain {
    parts: Vec<PromptPart>,
}

impl PromptChain {
    /// Returns the parts in order.
    pub fn parts(&self) -> &[PromptPart] {
        &self.parts
    }

    /// Returns the length of the whole prompt.
    pub fn tokens(&self) -> TokenCount {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the longest part that is shared between sessions. Prompts are grouped by it.
    pub fn longest_shared(&self) -> Option<&PromptPart> {
        let (_, shared) = self.parts.split_last()?;
        shared.iter().max_by_key(|part| part.tokens)
    }

    /// Returns the length of the prompt up to the end of its longest shared part.
    pub fn shared_tokens(&self) -> TokenCount {
        let Some(longest) = self.longest_shared() else { return TokenCount::default() };
        let end = self.parts.iter().position(|part| part.id == longest.id).unwrap_or(0);
        self.parts[..=end].iter().map(|part| part.tokens).sum()
    }

    /// Returns the prompt up to the end of its longest shared part.
    pub fn shared_part(&self) -> PromptChain {
        let Some(longest) = self.longest_shared() else { return PromptChain::default() };
        let end = self.parts.iter().position(|part| part.id == longest.id).unwrap_or(0);
        PromptChain { parts: self.parts[..=end].to_vec() }
    }

    /// Returns the ids of the prefixes up to the end of the longest shared part, each with the
    /// length of its last part.
    pub fn shared_prefixes(&self) -> Vec<(PartId, TokenCount)> {
        let Some(longest) = self.longest_shared() else { return Vec::new() };
        let end = self.parts.iter().position(|part| part.id == longest.id).unwrap_or(0);
        self.prefixes().take(end + 1).collect()
    }

    /// Returns the parts that servers may crash on, whatever else the prompt holds: all but the last,
    /// which only one session has.
    pub fn suspect_parts(&self) -> impl Iterator<Item = PartId> + '_ {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().take(MAX_SUSPECT_PARTS).map(|part| part.id)
    }

    /// Returns the ids of all prefixes, each with the length of its last part. A prefix id
    /// identifies a part together with all parts before it.
    pub fn prefixes(&self) -> impl Iterator<Item = (PartId, TokenCount)> + '_ {
        self.parts.iter().scan(0u64, |state, part| {
            *state = xxhash_rust::xxh3::xxh3_64_with_seed(&part.id.0.to_le_bytes(), *state);
            Some((PartId(*state), part.tokens))
        })
    }
}

impl fmt::Display for PromptChain {
    /// Writes `ID:TOKENS,ID:TOKENS`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.parts.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(formatter, "{comma}{}:{}", part.id, part.tokens.get())?;
        }
        Ok(())
    }
}

impl FromStr for PromptChain {
    type Err = ChainError;

    /// Parses `ID:TOKENS,ID:TOKENS` with hexadecimal IDs. An ID that doesn't fit into 64 bits is
    /// hashed to 64 bits.
    fn from_str(text: &str) -> Result<Self, ChainError> {
        let mut parts = Vec::new();
        for (index, entry) in text.split(',').map(str::trim).enumerate() {
            if index >= MAX_PARTS {
                return Err(ChainError::TooMany);
            }
            parts.push(read_part(entry).ok_or(ChainError::Part { index })?);
        }
        Ok(Self { parts })
    }
}

fn read_part(entry: &str) -> Option<PromptPart> {
    let (id, tokens) = entry.split_once(':')?;
    Some(PromptPart { id: id.parse().ok()?, tokens: TokenCount::new(tokens.trim().parse().ok()?) })
}
