//! Whether a process has asked its peers since it started or was paused.

use std::time::{Duration, Instant};

/// Settled peers that must hold the same as this process.
const MIN_AGREEING_PEERS: usize = 2;
/// How long more than one peer is waited for.
const SECOND_PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// What a process knows of its peers and of the service when it judges whether it is settled.
#[derive(Debug, Clone, Copy)]
pub struct SettlingFacts {
    /// How long the process has asked.
    pub query_time: Duration,
    /// Whether it has any peers to ask.
    pub has_peers: bool,
    /// Peers that have told what they hold.
    pub responded: usize,
    /// Settled peers that hold the same.
    pub agreed: usize,
    /// Settled peers that hold something else.
    pub disagreed: usize,
    /// Whether what is held reflects a reading of the service made since it asks.
    pub has_read_service: bool,
    /// Whether anything is held.
    pub holds_files: bool,
    /// Whether a version is being fetched.
    pub is_fetching: bool,
}

impl SettlingFacts {
    /// Whether the process may serve with what it holds.
    ///
    /// It may when two settled peers agree, or one after a while; when it has read the service
    /// and no settled peer disagrees, as after a restart of all; and in the end, when peers can't
    /// be reached in time, with whatever it holds, but never with nothing.
    pub fn is_settled(&self, ask_within: Duration) -> bool {
        let has_configuration = self.has_read_service || self.holds_files;
        if self.query_time >= ask_within {
            return has_configuration;
        }
        if self.agreed >= MIN_AGREEING_PEERS {
            return true;
        }
        if self.disagreed > 0 || self.is_fetching {
            return false;
        }
        let second_peer_timed_out = self.query_time >= SECOND_PEER_TIMEOUT;
        if self.agreed > 0 {
            return second_peer_timed_out;
        }
        self.has_read_service && (!self.has_peers || (self.responded > 0 && second_peer_timed_out))
    }
}

/// The state of settling: asking, or settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SettlingState {
    /// The process asks its peers since then.
    Querying(Instant),
    /// The process may serve.
    Settled,
}
