//! What routers tell one another.

mod exchange;
mod news;
mod owner_mail;

pub use exchange::PeerExchange;
