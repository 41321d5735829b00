//! Exchange of versions between peers.

mod byte_budget;
mod dialer;
mod fetch;
mod handshake;
mod link_reader;
mod link_writer;
mod partial_body;
mod peer_error;
mod peer_link;
mod shared_fetch;

pub(crate) use byte_budget::ByteBudget;
pub(crate) use dialer::{accept_peers, dial_peers};
pub(crate) use fetch::FetchTracker;
pub(crate) use partial_body::PartialBody;
pub(crate) use peer_link::PeerLink;
