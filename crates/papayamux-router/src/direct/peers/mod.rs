//! The communication between routers.

mod crash_updates;
mod exchange;
mod origin_exchange;
mod owner_queries;
mod queue_exchange;
mod source_updates;
mod view_transfer;

pub use exchange::PeerExchange;
