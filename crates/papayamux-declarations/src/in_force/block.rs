//! Parts of accepted files that have no effect, because of other files in most cases.

use std::fmt;

use crate::values::{FileName, FileRevision, ItemKind};

/// The location of a declaration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The declaring file.
    pub file: FileName,
    /// The revision of the file.
    pub revision: FileRevision,
    /// The line number of the section, starting at 1.
    pub line: usize,
}

impl fmt::Display for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}:{}", self.file, self.revision, self.line)
    }
}

/// The reason why a part of an accepted file has no effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BlockReason {
    /// The owners' file grants the name to another team.
    Granted {
        /// The team that owns the name.
        owner: FileName,
    },
    /// A file that precedes this one by name declares the same name.
    NameTaken {
        /// The file that owns the name.
        owner: FileName,
    },
    /// A file that precedes this one by name has a server with the same agent.
    AgentTaken {
        /// The file that owns the agent.
        owner: FileName,
    },
    /// The item referred to is not in force.
    Missing {
        /// The kind of the missing item.
        kind: ItemKind,
        /// The name of the missing item.
        name: String,
    },
    /// The adapter's model is not among the server's models.
    ModelNotOnServer {
        /// The missing model.
        model: String,
    },
    /// The route refers to a model engine.
    NotAService {
        /// The name of the engine's server.
        server: String,
    },
    /// The model is retiring and nothing refers to it any more.
    Retired,
    /// The owners' file limits the team to less urgent priority classes.
    PriorityCapped,
}

impl BlockReason {
    /// All labels, for registering metrics.
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

    /// Returns the stable label used in metrics, logs and JSON output.
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

    /// Returns `true` if somebody has to act. A retired model is intended by its team.
    pub const fn is_conflict(&self) -> bool {
        !matches!(self, BlockReason::Retired)
    }

    /// Returns advice on how to resolve the block.
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

/// A part of an accepted file without effect: a whole section, or one value of a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockedItem {
    /// The location of the section.
    pub origin: Origin,
    /// The kind of the section's item.
    pub kind: ItemKind,
    /// The name of the section's item.
    pub name: String,
    /// The key whose value is concerned; `None` if the whole section has no effect.
    pub key: Option<&'static str>,
    /// The reason.
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
