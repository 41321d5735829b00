//! Table of the routers that follow this one.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::source::SourcePosition;

use super::reader_order::FANOUT;
use super::timestamped_report::ReceivedQuery;

/// Duration for which a follower receives updates after a query. It sends a query every second, one of
/// which may be lost.
const FOLLOWER_TTL: Duration = Duration::from_millis(2_500);
/// Maximum number of followers. While routers disagree on the members of the fleet, too many may choose
/// the same one; a router that receives no updates chooses another.
const MAX_FOLLOWERS: usize = 2 * FANOUT;

/// A router that follows this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerEntry {
    /// The last query.
    pub query: ReceivedQuery,
    /// Position of the source up to which the follower knew all changes when it sent the query.
    pub position: SourcePosition,
    queried_at: Instant,
}

/// All routers that follow this one.
#[derive(Debug, Default)]
pub struct FollowerTable {
    followers: BTreeMap<IpAddr, FollowerEntry>,
}

impl FollowerTable {
    /// Records a query of `router`. Returns `false` if the table is full, so that the router receives no
    /// updates.
    pub fn record(
        &mut self,
        router: IpAddr,
        query: ReceivedQuery,
        position: SourcePosition,
        now: Instant,
    ) -> bool {
        self.expire(now);
        if self.followers.len() >= MAX_FOLLOWERS && !self.followers.contains_key(&router) {
            return false;
        }
        self.followers.insert(router, FollowerEntry { query, position, queried_at: now });
        true
    }

    /// Returns the followers to update now. Removes expired ones first.
    pub fn current(&mut self, now: Instant) -> Vec<(IpAddr, FollowerEntry)> {
        self.expire(now);
        self.followers.iter().map(|(router, entry)| (*router, *entry)).collect()
    }

    fn expire(&mut self, now: Instant) {
        self.followers
            .retain(|_, entry| now.saturating_duration_since(entry.queried_at) < FOLLOWER_TTL);
    }
}
