//! `[grant TEAM]` of the owners' file: which team owns which names, and its part of the fleet.

use std::fmt;
use std::str::FromStr;

use crate::values::{ItemKind, PriorityClass, ShareFraction, ValueError};

/// The name of the one file that may hold grants.
pub const OWNERS_FILE: &str = "owners";
/// Bytes of the longest pattern.
const MAX_PATTERN_BYTES: usize = 1024;

/// A name, or the start of names with a star behind it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NamePattern(String);

impl NamePattern {
    /// Whether `name` fits.
    pub fn matches(&self, name: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => name == self.0,
        }
    }

    /// How closely the pattern names what it fits; the closer of two goes first.
    pub fn specificity(&self) -> (usize, bool) {
        (self.0.trim_end_matches('*').len(), !self.0.ends_with('*'))
    }
}

impl fmt::Display for NamePattern {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for NamePattern {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let start = text.strip_suffix('*').unwrap_or(text);
        let graphic = text.bytes().all(|byte| byte.is_ascii_graphic());
        match !text.is_empty() && text.len() <= MAX_PATTERN_BYTES && graphic && !start.contains('*')
        {
            true => Ok(Self(text.to_string())),
            false => Err(ValueError {
                text: text.chars().take(64).collect(),
                form: "a name or the start of one with a star at its end",
            }),
        }
    }
}

/// What the owners' file grants one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GrantSection {
    /// The team's part of the fleet.
    pub share: Option<ShareFraction>,
    /// The first priority class that its organisations and routes may have.
    pub first_priority: Option<PriorityClass>,
    /// Names of organisations that only this team may declare.
    pub organisations: Vec<NamePattern>,
    /// Names of models that only this team may declare.
    pub models: Vec<NamePattern>,
    /// Names of adapters that only this team may declare.
    pub adapters: Vec<NamePattern>,
    /// Names of servers that only this team may declare.
    pub servers: Vec<NamePattern>,
    /// Path prefixes that only this team may declare.
    pub routes: Vec<NamePattern>,
}

impl GrantSection {
    /// The names of one kind that only this team may declare.
    pub fn patterns(&self, kind: ItemKind) -> &[NamePattern] {
        match kind {
            ItemKind::Organisation => &self.organisations,
            ItemKind::Model => &self.models,
            ItemKind::Adapter => &self.adapters,
            ItemKind::Server => &self.servers,
            ItemKind::Route => &self.routes,
        }
    }
}
