//! What a source of the configuration and of the list of servers returns.

use std::fmt;

use thiserror::Error;

use crate::backend::BackendServer;
use crate::evacuation::EvacuationOrder;
use crate::ids::{FailureDomain, ServerName};
use crate::service_config::ConfigurationSnapshot;

/// A point in a source's history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourcePosition(pub u64);

impl fmt::Display for SourcePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// All that a source holds.
#[derive(Debug, Default)]
pub struct SourceContents {
    /// The newest configuration, where there is one.
    pub configuration: Option<ConfigurationSnapshot>,
    /// All servers.
    pub servers: Vec<BackendServer>,
    /// All evacuations in force.
    pub evacuations: Vec<EvacuationOrder>,
    /// Entries that name no server.
    pub faults: Vec<EntryFault>,
    /// The point behind which changes have to be read.
    pub position: SourcePosition,
    /// The point up to which some of it may already be. Where that is a later one, all this is what the source
    /// held at no single point, until the changes between the two are known too.
    pub latest: SourcePosition,
}

/// One change.
#[derive(Debug)]
pub enum SourceChange {
    /// A new configuration.
    Configuration(ConfigurationSnapshot),
    /// A server's entry as it is now.
    Server(BackendServer),
    /// A server's entry is gone.
    ServerRemoved(ServerName),
    /// A failure domain is evacuated.
    EvacuationStarted(EvacuationOrder),
    /// The evacuation of a failure domain has ended.
    EvacuationEnded(FailureDomain),
    /// An entry names no server, or no longer one.
    Fault(EntryFault),
}

/// What is wrong with an entry that should name a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EntryFaultKind {
    /// Its key is no name of a server.
    Name,
    /// Its contents can't be read, or lack a field or have one of another type.
    Form,
    /// One of its fields holds what isn't known.
    Value,
}

impl EntryFaultKind {
    /// The stable word for metrics.
    pub fn label(self) -> &'static str {
        match self {
            EntryFaultKind::Name => "name",
            EntryFaultKind::Form => "form",
            EntryFaultKind::Value => "value",
        }
    }
}

/// An entry that names no server. Whoever wrote it, it says nothing of any other entry.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key:?}: {cause}")]
pub struct EntryFault {
    /// The entry's key, for people.
    pub key: String,
    /// The name that the key has, where it has one.
    pub name: Option<ServerName>,
    /// What is wrong.
    pub kind: EntryFaultKind,
    /// The same, for people.
    pub cause: String,
}

/// Changes in their order.
#[derive(Debug)]
pub struct SourceChanges {
    /// The changes.
    pub changes: Vec<SourceChange>,
    /// The point up to which they go.
    pub position: SourcePosition,
    /// Whether there may be more behind them, so that they don't show what is newest.
    pub may_have_more: bool,
}

/// Why a source did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The changes behind the given point are no longer there; everything has to be read again.
    #[error("the history behind the last read is gone")]
    HistoryLost,
    /// The source can't be reached, refuses, or answers with something else.
    #[error("the source is not available: {0}")]
    Unavailable(String),
}
