//! Which processes are known, and which of them read the service.

mod peer_table;

pub(crate) use peer_table::ALIVE_WITHIN;
pub use peer_table::{watch_rank, KnownPeer, PeerTable};
