//! The routers that follow this one.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use papayamux_state::source::SourcePosition;

use super::reader_order::FANOUT;
use super::timestamped_report::ReceivedQuery;

/// How long a router that follows is told without asking again: it asks each second, and one question
/// may be lost.
const FOLLOWER_TTL: Duration = Duration::from_millis(2_500);
/// Followers at most. Routers that do not agree on who is there may crowd at one for a while; whoever is
/// not told looks for another.
const MAX_FOLLOWERS: usize = 2 * FANOUT;

/// A router that follows this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerEntry {
    /// Its last question.
    pub query: ReceivedQuery,
    /// The position that it has read up to.
    pub position: SourcePosition,
    queried_at: Instant,
}

/// All routers that follow this one.
#[derive(Debug, Default)]
pub struct FollowerTable {
    followers: BTreeMap<IpAddr, FollowerEntry>,
}

impl FollowerTable {
    /// Notes that `router` follows; whether it is told.
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

    /// The routers to be told now.
    pub fn current(&mut self, now: Instant) -> Vec<(IpAddr, FollowerEntry)> {
        self.expire(now);
        self.followers.iter().map(|(router, entry)| (*router, *entry)).collect()
    }

    fn expire(&mut self, now: Instant) {
        self.followers
            .retain(|_, entry| now.saturating_duration_since(entry.queried_at) < FOLLOWER_TTL);
    }
}
