//! Known processes, and which of them watch the service.

mod peer_table;

pub(crate) use peer_table::PEER_ALIVE_TIMEOUT;
pub use peer_table::{watch_rank, KnownPeer, PeerTable};
