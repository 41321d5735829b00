//! Parts of accepted files that other files keep from taking effect.

use std::fmt;

use crate::values::{FileName, FileRevision, ItemKind};

/// Where something in force is declared.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The file.
    pub file: FileName,
    /// Its revision.
    pub revision: FileRevision,
    /// The line of the section, counted from 1.
    pub line: usize,
}

impl fmt::Display for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}:{}", self.file, self.revision, self.line)
    }
}

/// Why a part of an accepted file has no effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BlockReason {
    /// The owners' file grants the name to another team.
    Granted {
        /// That team.
        owner: FileName,
    },
    /// A file that goes before this one by name declares the same name.
    NameTaken {
        /// That file.
        owner: FileName,
    },
    /// A file that goes before this one by name has a server with the same agent.
    AgentTaken {
        /// That file.
        owner: FileName,
    },
    /// No file declares what is named here, or not with effect.
    Missing {
        /// The kind of what is named.
        kind: ItemKind,
        /// Its name.
        name: String,
    },
    /// The adapter's model is not among the server's models.
    ModelNotOnServer {
        /// The model.
        model: String,
    },
    /// The route leads to a model engine.
    NotAService {
        /// The server.
        server: String,
    },
    /// The model is retiring and nothing names it any more.
    Retired,
    /// The owners' file caps the team's priority.
    PriorityCapped,
}

impl BlockReason {
    /// Every label, for metrics.
    pub const LABELS: [&'static str; 8] = [
        "granted",
        "name_taken",
        "agent_taken",
        "missing",
        "model_not_on_server",
        "not_a_service",
        "retired",
        "priority_capped",
    ];

    /// The stable word for metrics, logs and programs.
    pub const fn label(&self) -> &'static str {
        match self {
            BlockReason::Granted { .. } => "granted",
            BlockReason::NameTaken { .. } => "name_taken",
            BlockReason::AgentTaken { .. } => "agent_taken",
            BlockReason::Missing { .. } => "missing",
            BlockReason::ModelNotOnServer { .. } => "model_not_on_server",
            BlockReason::NotAService { .. } => "not_a_service",
            BlockReason::Retired => "retired",
            BlockReason::PriorityCapped => "priority_capped",
        }
    }

    /// Whether somebody has to act; a retired model is as its team wants it.
    pub const fn is_conflict(&self) -> bool {
        !matches!(self, BlockReason::Retired)
    }

    /// What would lift the block.
    pub const fn help(&self) -> &'static str {
        match self {
            BlockReason::Granted { .. } => "choose another name, or have the owners' file changed",
            BlockReason::NameTaken { .. } => {
                "start the name with your team and a slash, or have the owners' file grant it"
            }
            BlockReason::AgentTaken { .. } => "an agent stands beside one server only",
            BlockReason::Missing { .. } => "it takes effect as soon as the name is in force",
            BlockReason::ModelNotOnServer { .. } => "add the model to the server's models",
            BlockReason::NotAService { .. } => "routes lead to servers of kind service",
            BlockReason::Retired => "delete the section when it suits you",
            BlockReason::PriorityCapped => "the first class that the team may use is in force",
        }
    }
}

impl fmt::Display for BlockReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BlockReason::Granted { owner } => {
                write!(formatter, "the owners' file grants the name to {owner}")
            }
            BlockReason::NameTaken { owner } => {
                write!(formatter, "the file {owner} declares the same name and goes first")
            }
            BlockReason::AgentTaken { owner } => {
                write!(formatter, "the file {owner} has a server with the same agent")
            }
            BlockReason::Missing { kind, name } => {
                write!(formatter, "the {kind} {name} is not in force")
            }
            BlockReason::ModelNotOnServer { model } => {
                write!(formatter, "its model {model} is not on the server")
            }
            BlockReason::NotAService { server } => {
                write!(formatter, "the server {server} is a model engine")
            }
            BlockReason::Retired => {
                formatter.write_str("the model is retiring and nothing names it")
            }
            BlockReason::PriorityCapped => {
                formatter.write_str("the owners' file caps the team's priority")
            }
        }
    }
}

/// A part of an accepted file without effect: a section, or one value of a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockedItem {
    /// Where it is declared.
    pub origin: Origin,
    /// The kind of the section.
    pub kind: ItemKind,
    /// The section's name.
    pub name: String,
    /// The key whose value has no effect; `None` where the whole section has none.
    pub key: Option<&'static str>,
    /// Why.
    pub reason: BlockReason,
}

impl fmt::Display for BlockedItem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { origin, kind, name, key, reason } = self;
        write!(formatter, "{origin}: [{kind} {name}]")?;
        if let Some(key) = key {
            write!(formatter, " {key}")?;
        }
        write!(formatter, ": {reason}\n    help: {}", reason.help())
    }
}
