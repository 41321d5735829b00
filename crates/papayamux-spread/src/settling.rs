//! Decides when a process may serve after it started or was paused.

use std::time::{Duration, Instant};

/// Minimum number of settled peers with the same files at which the process settles immediately.
const MIN_AGREEING_PEERS: usize = 2;
/// Duration for which a process waits for a second peer.
const SECOND_PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the peers and of the service from which the settled state is derived.
#[derive(Debug, Clone, Copy)]
pub struct SettlingFacts {
    /// Duration for which the process has queried its peers.
    pub query_time: Duration,
    /// `true` if there are peers to query.
    pub has_peers: bool,
    /// Number of peers that have sent a summary of their files.
    pub responded: usize,
    /// Number of settled peers with the same files.
    pub agreed: usize,
    /// Number of settled peers with other files.
    pub disagreed: usize,
    /// `true` if the stored files reflect a service read made since querying began.
    pub has_read_service: bool,
    /// `true` if any file is stored.
    pub holds_files: bool,
    /// `true` if a version is being fetched.
    pub is_fetching: bool,
}

impl SettlingFacts {
    /// Returns whether the process may serve with the files that it stores.
    ///
    /// It may do so if two settled peers agree, or one after `SECOND_PEER_TIMEOUT`. It may also do
    /// so if it has read the service and no settled peer disagrees, as after a restart of all
    /// processes. After `ask_within`, when peers can't be reached, it serves with whatever it
    /// stores, but never with nothing.
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

/// Settling state of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SettlingState {
    /// Querying peers since this time.
    Querying(Instant),
    /// The process may serve.
    Settled,
}
