//! Crashes of servers lately, whatever ran there.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use papayamux_state::ids::ServerId;

/// Time for which the crash of a server counts as a sign of another cause.
const SERVER_CRASH_TTL: Duration = Duration::from_secs(10);
/// Maximum number of server crashes that are kept.
const MAX_SERVER_CRASHES: usize = 64;

/// The servers that this router has seen crash recently and when, the latest last.
#[derive(Debug, Default)]
pub(super) struct ServerCrashes(VecDeque<(ServerId, Instant)>);

impl ServerCrashes {
    /// Records a crash. Each request that ran on the server reports the same one.
    pub(super) fn record(&mut self, server: &ServerId, now: Instant) {
        self.0.retain(|(_, crashed)| is_recent(*crashed, now));
        if self.0.iter().any(|(crashed, _)| crashed == server) {
            return;
        }
        if self.0.len() == MAX_SERVER_CRASHES {
            self.0.pop_front();
        }
        self.0.push_back((server.clone(), now));
    }

    /// Returns the number of recent crashes.
    pub(super) fn count(&self, now: Instant) -> usize {
        self.0.iter().filter(|(_, crashed)| is_recent(*crashed, now)).count()
    }
}

/// Returns whether a crash is still a sign of what crashes servers now.
pub(super) fn is_recent(crashed: Instant, now: Instant) -> bool {
    now.saturating_duration_since(crashed) < SERVER_CRASH_TTL
}
