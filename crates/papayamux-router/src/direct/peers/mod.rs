//! What routers tell one another.

mod crash_news;
mod exchange;
mod news;
mod owner_mail;

pub use exchange::PeerExchange;
