//! Whether a process has asked its peers since it started or was paused.

use std::time::{Duration, Instant};

/// Settled peers that must hold the same as this process.
const PEERS_TO_AGREE: usize = 2;
/// How long more than one peer is waited for.
const SEVERAL_WITHIN: Duration = Duration::from_secs(2);

/// What a process knows of its peers and of the service when it judges whether it is settled.
#[derive(Debug, Clone, Copy)]
pub struct SettlingFacts {
    /// How long the process has asked.
    pub asked_for: Duration,
    /// Whether it has any peers to ask.
    pub has_peers: bool,
    /// Peers that have told what they hold.
    pub heard: usize,
    /// Settled peers that hold the same.
    pub agreed: usize,
    /// Settled peers that hold something else.
    pub disagreed: usize,
    /// Whether what is held reflects a reading of the service made since it asks.
    pub has_reading: bool,
    /// Whether anything is held.
    pub holds_files: bool,
    /// Whether a version is being fetched.
    pub fetches: bool,
}

impl SettlingFacts {
    /// Whether the process may serve with what it holds.
    ///
    /// It may when two settled peers agree, or one after a while; when it has read the service
    /// and no settled peer disagrees, as after a restart of all; and in the end, when peers can't
    /// be reached in time, with whatever it holds, but never with nothing.
    pub fn is_settled(&self, ask_within: Duration) -> bool {
        let knows = self.has_reading || self.holds_files;
        if self.asked_for >= ask_within {
            return knows;
        }
        if self.agreed >= PEERS_TO_AGREE {
            return true;
        }
        if self.disagreed > 0 || self.fetches {
            return false;
        }
        let waited = self.asked_for >= SEVERAL_WITHIN;
        if self.agreed > 0 {
            return waited;
        }
        self.has_reading && (!self.has_peers || (self.heard > 0 && waited))
    }
}

/// The state of settling: asking, or settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SettlingState {
    /// The process asks its peers since then.
    Asking(Instant),
    /// The process may serve.
    Settled,
}
