//! Short server keys for messages between routers.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use super::ServerId;

/// A 32-bit hash of a server's identifier, for messages that name many servers. Two of 600 servers
/// have the same key in one of 24,000 fleets; their loads are then mistaken for each other's.
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
