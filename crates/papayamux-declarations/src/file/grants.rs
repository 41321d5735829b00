//! The `[grant TEAM]` sections of the owners' file: the names that a team owns and its share of the
//! fleet.

use std::fmt;
use std::str::FromStr;

use crate::values::{ItemKind, PriorityClass, ShareFraction, ValueError};

/// The name of the only file that may contain grants.
pub const OWNERS_FILE: &str = "owners";
/// Maximum length of a pattern in bytes.
const MAX_PATTERN_BYTES: usize = 1024;

/// A literal name, or a name prefix followed by `*`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NamePattern(String);

impl NamePattern {
    /// Returns `true` if `name` matches the pattern.
    pub fn matches(&self, name: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => name == self.0,
        }
    }

    /// Returns the precedence of the pattern: the longer prefix wins, then a literal name over a
    /// pattern with a star.
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

/// The grants of one team in the owners' file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GrantSection {
    /// The team's share of the fleet.
    pub share: Option<ShareFraction>,
    /// The most urgent priority class that its organisations and routes may use.
    pub first_priority: Option<PriorityClass>,
    /// Patterns of organisation names that only this team may declare.
    pub organisations: Vec<NamePattern>,
    /// Patterns of model names that only this team may declare.
    pub models: Vec<NamePattern>,
    /// Patterns of adapter names that only this team may declare.
    pub adapters: Vec<NamePattern>,
    /// Patterns of server names that only this team may declare.
    pub servers: Vec<NamePattern>,
    /// Patterns of path prefixes that only this team may declare.
    pub routes: Vec<NamePattern>,
}

impl GrantSection {
    /// Returns the patterns for one kind of item.
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
