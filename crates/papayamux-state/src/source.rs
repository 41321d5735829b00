//! The data read from a source of the configuration and of the list of servers.

use std::fmt;

use thiserror::Error;

use crate::backend::BackendServer;
use crate::evacuation::EvacuationOrder;
use crate::ids::{FailureDomain, ServerName};
use crate::service_config::ConfigurationSnapshot;

/// An era of a source's history. A new one begins each time the source is restored from a copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceEra(pub u64);

impl fmt::Display for SourceEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A position in a source's history.
///
/// A source that is restored from a copy has lost the changes since, and gives their revisions out again. Every
/// position of a later era is therefore later than all positions of the eras before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourcePosition {
    /// The era, which is compared first.
    pub era: SourceEra,
    /// The revision within the era.
    pub revision: u64,
}

impl SourcePosition {
    /// Creates the position of a revision within an era.
    pub fn new(era: SourceEra, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for SourcePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}

/// Why the configuration of a source can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct ConfigurationFault(pub String);

/// A configuration as it was read from a source.
#[derive(Debug)]
pub struct ListedConfiguration {
    /// The position at which it was written.
    pub position: SourcePosition,
    /// The configuration, or why it can't be read.
    pub contents: Result<ConfigurationSnapshot, ConfigurationFault>,
}

/// The complete contents of a source.
#[derive(Debug, Default)]
pub struct SourceContents {
    /// The latest configuration, if there is one.
    pub configuration: Option<ListedConfiguration>,
    /// All listed servers.
    pub servers: Vec<BackendServer>,
    /// All evacuation orders in force.
    pub evacuations: Vec<EvacuationOrder>,
    /// The entries that don't describe a server.
    pub faults: Vec<EntryFault>,
    /// The position after which changes have to be read.
    pub position: SourcePosition,
    /// The latest position that any of the contents may include. If it is later than `position`, the
    /// contents don't match the source at any single position until the changes between the two have been
    /// applied.
    pub latest: SourcePosition,
}

/// A change in the contents of a source.
#[derive(Debug)]
pub enum SourceChange {
    /// The configuration was written or removed.
    Configuration(ListedConfiguration),
    /// A server's entry was added or changed.
    Server(BackendServer),
    /// A server's entry was removed.
    ServerRemoved(ServerName),
    /// The evacuation of a failure domain has started.
    EvacuationStarted(EvacuationOrder),
    /// The evacuation of a failure domain has ended.
    EvacuationEnded(FailureDomain),
    /// An entry doesn't describe a server, or no longer does.
    Fault(EntryFault),
}

/// The kind of fault in an entry that should describe a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EntryFaultKind {
    /// The entry's key is not a valid server name.
    Name,
    /// The entry can't be parsed, or a field is missing or of the wrong type.
    Form,
    /// One of the entry's fields has an unknown value.
    Value,
}

impl EntryFaultKind {
    /// Returns the stable label for metrics.
    pub fn label(self) -> &'static str {
        match self {
            EntryFaultKind::Name => "name",
            EntryFaultKind::Form => "form",
            EntryFaultKind::Value => "value",
        }
    }
}

/// An entry that doesn't describe a server. The fault has no bearing on any other entry, whoever wrote
/// the faulty one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key:?}: {cause}")]
pub struct EntryFault {
    /// The entry's key, for display.
    pub key: String,
    /// The server name in the key, if it has a valid one.
    pub name: Option<ServerName>,
    /// The kind of fault.
    pub kind: EntryFaultKind,
    /// A description of the fault, for display.
    pub cause: String,
}

/// A change together with the position at which it was made.
#[derive(Debug)]
pub struct PositionedChange {
    /// The position up to which the source includes the change.
    pub position: SourcePosition,
    /// The change.
    pub change: SourceChange,
}

/// A sequence of changes read from a source.
#[derive(Debug)]
pub struct SourceChanges {
    /// The changes in order.
    pub changes: Vec<PositionedChange>,
    /// The position up to which the changes reach.
    pub position: SourcePosition,
    /// Whether there may be more changes after these, in which case they don't show the latest state.
    pub may_have_more: bool,
}

/// The error of reading from a source.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The source no longer has the changes after the given position. Its complete contents have to be
    /// read again.
    #[error("the source no longer has the history after the last read")]
    HistoryLost,
    /// The response to a read is too large, and so would be that to the same read later. Changes are too many or
    /// too large; the complete contents, which are read in pages, have to be read instead.
    #[error("the response exceeds {limit} bytes")]
    TooLarge {
        /// The maximum size of a response in bytes.
        limit: usize,
    },
    /// The source was restored from a copy, which may lack changes that were read before. Its complete contents
    /// have to be read again.
    #[error("the source was restored from a copy after the last read")]
    Restored,
    /// The source is unreachable, refuses the request, or sends an unexpected answer.
    #[error("the source is unavailable: {0}")]
    Unavailable(String),
}
