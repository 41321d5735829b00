//! A hash ring with virtual points for plain consistent hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ChatKey, ServerId};

/// The number of virtual points of each server on the ring.
const POINTS_PER_SERVER: u64 = 100;

/// A consistent hash ring of servers.
#[derive(Debug, Clone)]
pub struct HashRing {
    servers: Vec<ServerId>,
    points: Vec<(u64, usize)>,
}

impl HashRing {
    /// Creates a ring of `servers`. Their order doesn't matter.
    pub fn new(mut servers: Vec<ServerId>) -> Self {
        servers.sort_unstable();
        servers.dedup();
        let mut points: Vec<_> = servers
            .iter()
            .enumerate()
            .flat_map(|(index, server)| {
                let name = server.as_str().as_bytes();
                (0..POINTS_PER_SERVER).map(move |point| (xxh3_64_with_seed(name, point + 1), index))
            })
            .collect();
        points.sort_unstable();
        Self { servers, points }
    }

    /// Returns whether the ring consists of exactly the servers in `sorted`, which must be sorted.
    pub fn has_servers(&self, sorted: &[ServerId]) -> bool {
        self.servers == sorted
    }

    /// Returns all servers in ring order, starting from the chat's point.
    pub fn walk(&self, chat: &ChatKey) -> Vec<&ServerId> {
        let start = xxh3_64_with_seed(chat.as_str().as_bytes(), 0);
        let first = self.points.partition_point(|(point, _)| *point < start);
        let mut visited = vec![false; self.servers.len()];
        let mut walked = Vec::with_capacity(self.servers.len());
        for (_, index) in self.points[first..].iter().chain(&self.points[..first]) {
            if !std::mem::replace(&mut visited[*index], true) {
                walked.push(&self.servers[*index]);
                if walked.len() == self.servers.len() {
                    break;
                }
            }
        }
        walked
    }
}
