//! Short names of servers between routers.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use super::ServerId;

/// A server's identifier reduced to 32 bits, for messages that name many servers. Among 600 servers
/// two have the same key once in 24,000 fleets; their loads are then taken for one another's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u32);

impl From<&ServerId> for ServerKey {
    fn from(id: &ServerId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

impl fmt::Display for ServerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}
