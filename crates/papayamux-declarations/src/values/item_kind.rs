//! The kinds of items in declaration files.

use std::fmt;
use std::str::FromStr;

use super::ValueError;

/// A kind of item that a file declares under a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKind {
    /// An organisation.
    Organisation,
    /// A model.
    Model,
    /// An adapter.
    Adapter,
    /// A backend server.
    Server,
    /// A route.
    Route,
}

impl ItemKind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::Organisation, Self::Model, Self::Adapter, Self::Server, Self::Route];

    /// Returns the first word of section headers of this kind.
    pub const fn label(self) -> &'static str {
        match self {
            ItemKind::Organisation => "organisation",
            ItemKind::Model => "model",
            ItemKind::Adapter => "adapter",
            ItemKind::Server => "server",
            ItemKind::Route => "route",
        }
    }
}

impl fmt::Display for ItemKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

impl FromStr for ItemKind {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        Self::ALL.into_iter().find(|kind| kind.label() == text).ok_or_else(|| ValueError {
            text: text.chars().take(64).collect(),
            form: "a kind: organisation, model, adapter, server or route",
        })
    }
}
