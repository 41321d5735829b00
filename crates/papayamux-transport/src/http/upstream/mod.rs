//! Requests to servers whose answers are forwarded as they arrive.
//!
//! The connections are `hyper`'s: it reads answers without a length, which end with their
//! connection, and detects unsolicited bytes on an idle connection.

mod bounded_connect;
mod connection;
mod connection_pool;
mod exchange;
mod framing;
mod probe;
mod read_guard;

pub use connection::UpstreamError;
pub use connection_pool::{PoolLimits, UpstreamPool};
pub use exchange::UpstreamAnswer;
pub use framing::answer_framing;
pub use probe::{probe_listener, ProbeResult};
